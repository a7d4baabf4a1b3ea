package org.plantainwharf.forward;

import java.util.Optional;

import org.plantainwharf.board.Board;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.handover.Reach;

/**
 * Decides whether a request is served through another entry daemon because this one does not reach the servers of its
 * service. A request that was handed over to this daemon is not handed over again. Used by the forward controller on the
 * control thread. Stateless.
 */
final class HandoverChoice {
    /** Entry daemons that are asked for one request. Each that fails costs its caller time. */
    private static final int MAXIMUM_HELPERS = 2;

    /** Time to return for callers of a daemon that is cut off; cuts of links last for seconds. */
    private static final long RETURN_MILLIS = 1_000;

    private HandoverChoice() {}

    /** Where a request goes. */
    sealed interface Way {
        /** To a server. */
        record Servers() implements Way {}

        /** To another entry daemon. */
        record Helper(String address) implements Way {}

        /** Nowhere. */
        record Refused(Failure failure) implements Way {}
    }

    /** Returns where a request goes that has just arrived. */
    static Way onArrival(ForwardCall call, Board board, long nowNanos) {
        double ownFraction = board.handovers().ownFraction(call.service(), nowNanos);
        if (ownFraction >= 1 || ownFraction > 0 && board.random().nextDouble() < ownFraction) {
            return new Way.Servers();
        }
        Optional<String> helper = helper(call, board, nowNanos);
        if (helper.isPresent()) {
            return new Way.Helper(helper.get());
        }
        return ownFraction > 0 ? new Way.Servers() : new Way.Refused(unreachable(call));
    }

    /** Returns the entry daemon for a request that could not be sent to a server; empty if it should be tried here again. */
    static Optional<String> afterNotSent(ForwardCall call, Board board, long nowNanos) {
        return switch (board.handovers().reach(call.service())) {
            case Reach.Open open -> Optional.empty();
            case Reach.Returning returning -> Optional.empty();
            case Reach.OldConnectionsOnly oldOnly -> helper(call, board, nowNanos);
            case Reach.CutOff cutOff -> helper(call, board, nowNanos);
        };
    }

    /** Returns an entry daemon that was not asked for this request yet; empty if there is none or enough were asked. */
    static Optional<String> helper(ForwardCall call, Board board, long nowNanos) {
        return call.head().handedOver() || call.triedHelpers().size() >= MAXIMUM_HELPERS
                ? Optional.empty()
                : board.handovers()
                        .helper(call.triedHelpers(), bound -> board.random().nextInt(bound), nowNanos);
    }

    /** Returns the refusal of a request that neither this daemon nor another one can serve. */
    static Failure unreachable(ForwardCall call) {
        return Failure.of(ErrorKind.SERVERS_UNREACHABLE, call.service())
                .withRetryAfter(RetryAfter.limitedBy(call.head(), RETURN_MILLIS));
    }
}
