package org.plantainwharf.forward;

import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.origin.OriginAnswer;
import org.plantainwharf.origin.StreamOrigin;
import org.plantainwharf.registry.KnownServer;

/**
 * Decides whether a stream that a caller takes up goes on, by what is known of its origin. Used by the forward controller
 * on the control thread. Stateless.
 */
final class StreamTakeUp {
    /** A stream whose origin is asked for may be taken up again at once; the daemons find records within this time. */
    private static final long UNKNOWN_RETRY_AFTER_MILLIS = 100;

    /** Servers report several times in this time; before, a version without a server may only not have been heard of. */
    private static final long REGISTRY_COMPLETE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);

    private static final long UNREPORTED_RETRY_AFTER_MILLIS = 500;

    private StreamTakeUp() {}

    /** What becomes of the request. Immutable. */
    sealed interface Decision {
        /** It goes to servers of this service and version. */
        record GoesOn(StreamOrigin origin) implements Decision {}

        /** It is refused and has not run. */
        record Refused(Failure failure) implements Decision {}
    }

    static Decision decide(ForwardCall call, OriginAnswer answer, Board board, long nowNanos) {
        return switch (answer) {
            case OriginAnswer.Unknown unknown -> unknownOrigin(call);
            case OriginAnswer.Known known ->
                // The deduction is about one service; the stream may have begun at another one of the route.
                known.basis() == OriginAnswer.Basis.SINGLE_VERSION
                                && call.route().split().size() > 1
                        ? unknownOrigin(call)
                        : decide(call, known.origin(), board, nowNanos);
        };
    }

    private static Decision unknownOrigin(ForwardCall call) {
        return new Decision.Refused(Failure.of(ErrorKind.STREAM_ORIGIN_UNKNOWN)
                .withRetryAfter(RetryAfter.limitedBy(call.head(), UNKNOWN_RETRY_AFTER_MILLIS)));
    }

    private static Decision decide(ForwardCall call, StreamOrigin origin, Board board, long nowNanos) {
        if (call.route().split().stream().noneMatch(share -> share.service().equals(origin.service()))) {
            return new Decision.Refused(Failure.of(ErrorKind.STREAM_VERSION_GONE, origin.version()));
        }
        if (RolloutChoice.isGone(origin, board, nowNanos)) {
            return new Decision.Refused(Failure.of(ErrorKind.STREAM_VERSION_GONE, origin.version()));
        }
        if (StreamVersions.isServed(origin, board)) {
            return new Decision.GoesOn(origin);
        }
        return new Decision.Refused(
                isRegistryComplete(origin.service(), board, nowNanos)
                        ? Failure.of(ErrorKind.STREAM_VERSION_GONE, origin.version())
                        : Failure.of(ErrorKind.NO_SERVER_AVAILABLE, origin.service())
                                .withRetryAfter(RetryAfter.limitedBy(call.head(), UNREPORTED_RETRY_AFTER_MILLIS)));
    }

    /** Returns whether this daemon has known a server of the service for long enough to have heard of the others. */
    private static boolean isRegistryComplete(ServiceName service, Board board, long nowNanos) {
        for (KnownServer server : board.registry().servers()) {
            if (server.report().service().equals(service)
                    && nowNanos - server.firstReportNanos() >= REGISTRY_COMPLETE_NANOS) {
                return true;
            }
        }
        return false;
    }
}
