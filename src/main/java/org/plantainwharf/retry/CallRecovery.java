package org.plantainwharf.retry;

import org.plantainwharf.board.Board;
import org.plantainwharf.board.CallCompletion;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.CallState;
import org.plantainwharf.call.Origin;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.error.Failure;

/**
 * Ends calls after an event that a controller could not handle, with an answer at once. Orders that may have been sent and
 * accepted work are left to the record package, which knows what became of them. Stateless; used on the control thread.
 */
public final class CallRecovery {
    private CallRecovery() {}

    /** Ends a call whose arrival could not be handled, also if it is not in the call table. */
    public static void endArrived(Call call, Board board, Effects effects) {
        CallEntry entry = board.calls().call(call.id()).orElse(null);
        if (entry != null) {
            end(entry, board, effects);
        } else if (call.origin() instanceof Origin.Caller) {
            effects.count(ErrorKind.HANDLING_FAILED.metricName());
            effects.add(new CallEffect.FailCall(call.id(), Failure.of(ErrorKind.HANDLING_FAILED)));
        }
    }

    /** Ends a call; does nothing if its outcome is to be recorded. */
    public static void end(CallEntry entry, Board board, Effects effects) {
        if (entry.call().origin() instanceof Origin.AcceptedWork) {
            return;
        }
        boolean order = entry.call().kind() instanceof CallKind.Order;
        switch (entry.state()) {
            case CallState.Arrived arrived -> fail(entry, board, effects);
            case CallState.Queued queued -> fail(entry, board, effects);
            case CallState.Ready ready -> {
                if (!order) {
                    fail(entry, board, effects);
                }
            }
            case CallState.Running running -> {
                if (!order) {
                    effects.add(new AttemptEffect.CancelAttempt(running.attempt()));
                    CallCompletion.fail(board, effects, entry, Failure.of(ErrorKind.INTERNAL_ERROR));
                }
            }
            case CallState.Recording recording -> {}
            case CallState.Completing completing -> {}
        }
    }

    private static void fail(CallEntry entry, Board board, Effects effects) {
        ExecutionStatus ran = board.retry().ranSoFar(entry.call().id());
        Failure failure = ran == ExecutionStatus.NO
                ? Failure.of(ErrorKind.HANDLING_FAILED)
                : Failure.of(ErrorKind.INTERNAL_ERROR).withExecutionStatus(ran);
        CallCompletion.fail(board, effects, entry, failure);
    }
}
