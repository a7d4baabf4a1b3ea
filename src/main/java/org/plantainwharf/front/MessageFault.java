package org.plantainwharf.front;

import java.io.IOException;
import java.util.concurrent.TimeoutException;

import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.server.Request;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;

/**
 * Why a message of a caller was not received. Only a malformed message is the caller's fault; after the others the same
 * request may be sent again. Immutable; thread-safe.
 */
sealed interface MessageFault {
    /** The bytes that were received are no HTTP message. */
    record Malformed() implements MessageFault {}

    /** The caller's side of the connection ended within the message. */
    record EndedEarly() implements MessageFault {}

    /** This side closed the connection, for example at a stop. */
    record ClosedHere() implements MessageFault {}

    /** The rest of the message did not arrive in time. */
    record TimedOut() implements MessageFault {}

    /** Anything else, such as a lack of memory; the message is not known to be wrong. */
    record Unexpected() implements MessageFault {}

    /**
     * Determines the fault from what the HTTP library reports. The library reports an early end and malformed bytes alike, so
     * that the state of the connection decides between them.
     */
    static MessageFault of(Request request, Throwable cause) {
        if (cause instanceof TimeoutException) {
            return new TimedOut();
        }
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof WatchedEndPoint endPoint) {
            if (endPoint.isInputEnded()) {
                return new EndedEarly();
            }
            if (!endPoint.isOpen()) {
                return new ClosedHere();
            }
        }
        if (cause instanceof HttpException) {
            return new Malformed();
        }
        return cause instanceof IOException ? new ClosedHere() : new Unexpected();
    }

    /** Returns the answer to a request that was not received, and so has not run. */
    default Failure failure() {
        return switch (this) {
            case Malformed malformed -> Failure.of(ErrorKind.REQUEST_INVALID, "the body is malformed");
            case EndedEarly ended -> Failure.of(ErrorKind.REQUEST_NOT_RECEIVED, "the connection ended early");
            case ClosedHere closed -> Failure.of(ErrorKind.REQUEST_NOT_RECEIVED, "this host closed the connection");
            case TimedOut timedOut -> Failure.of(ErrorKind.BODY_TIMEOUT);
            case Unexpected unexpected -> Failure.of(ErrorKind.REQUEST_NOT_RECEIVED, "unexpected error of this host");
        };
    }
}
