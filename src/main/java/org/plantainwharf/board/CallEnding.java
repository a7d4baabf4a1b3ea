package org.plantainwharf.board;

import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.Origin;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.CallEvent;

/** The two ways in which a call leaves the call table. Stateless; used by controllers on the control thread. */
public final class CallEnding {
    private CallEnding() {}

    /** Ends a call with a failure: tells the caller, counts the reason and lets the other controllers know. */
    public static void fail(Board board, Effects effects, CallEntry entry, Failure failure) {
        board.calls().remove(entry);
        effects.count(failure.kind().metricName());
        if (entry.call().origin() instanceof Origin.Caller) {
            effects.add(new CallEffect.FailCall(entry.call().id(), failure));
        }
        effects.post(new CallEvent.CallRefused(entry.call(), failure));
    }

    /** Ends a call whose answer the caller has or is being sent. */
    public static void finish(Board board, Effects effects, CallEntry entry, long nowNanos) {
        board.calls().remove(entry);
        effects.post(
                new CallEvent.CallFinished(entry.call(), nowNanos - entry.call().arrivedNanos()));
    }
}
