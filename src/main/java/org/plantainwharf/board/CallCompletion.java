package org.plantainwharf.board;

import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.Origin;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.CallEvent;

/**
 * Removes calls from the call table, with a failure or an answer. Controllers remove calls in no other way. Stateless;
 * used on the control thread.
 */
public final class CallCompletion {
    private CallCompletion() {}

    /** Ends a call with a failure: answers the caller, counts the error and notifies the other controllers. */
    public static void fail(Board board, Effects effects, CallEntry entry, Failure failure) {
        board.calls().remove(entry);
        effects.count(failure.kind().metricName());
        if (entry.call().origin() instanceof Origin.Caller) {
            effects.add(new CallEffect.FailCall(entry.call().id(), failure));
        }
        effects.post(new CallEvent.CallRefused(entry.call(), failure));
    }

    /** Ends a call whose answer has been sent or is being sent, and notifies the other controllers. */
    public static void finish(Board board, Effects effects, CallEntry entry, long nowNanos) {
        board.calls().remove(entry);
        effects.post(
                new CallEvent.CallFinished(entry.call(), nowNanos - entry.call().arrivedNanos()));
    }
}
