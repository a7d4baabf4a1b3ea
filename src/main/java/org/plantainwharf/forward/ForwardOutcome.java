package org.plantainwharf.forward;

import java.util.OptionalLong;

/** How an attempt at a server ended. Immutable. */
public sealed interface ForwardOutcome {
    /**
     * The complete answer was passed to the caller.
     *
     * @param endedByClose whether the answer has no other end than that of its connection, which a crash of the server
     *     looks like
     */
    record Completed(boolean endedByClose) implements ForwardOutcome {}

    /**
     * The server refused the request and reported that it has not run it.
     *
     * @param retryAfterMillis delay after which the server accepts a retry; empty if it does not say
     */
    record Refused(int httpStatus, OptionalLong retryAfterMillis) implements ForwardOutcome {}

    /**
     * The request failed before any byte of it was written to a connection.
     *
     * @param connectionRefused whether nothing accepts connections at the server's address
     */
    record NotSent(boolean connectionRefused, String reason) implements ForwardOutcome {}

    /**
     * This daemon did not send the request, for a reason that lies not with the server.
     *
     * @param reason what had happened before the request could be sent
     */
    record Withheld(Reason reason) implements ForwardOutcome {
        /** Why a request was not sent. */
        public enum Reason {
            /** The caller had closed its connection. */
            CALLER_LEFT,
            /** The caller's deadline had passed. */
            DEADLINE_PASSED
        }
    }

    /** The server ran the request and answered with an error, which is held back until the controller decides. */
    record Failed(int httpStatus) implements ForwardOutcome {}

    /**
     * The connection broke or the answer did not belong to this request; the request may have run.
     *
     * @param begun whether the caller has received part of the answer
     * @param connectionLost whether the server's side ended the connection before the end of the answer
     */
    record Broken(boolean begun, boolean connectionLost, String reason) implements ForwardOutcome {}

    /**
     * This daemon cancelled the attempt.
     *
     * @param passedBytes bytes of the answer that were passed to the caller
     * @param waitingForCaller whether the caller had not yet accepted the last of them
     */
    record Cancelled(long passedBytes, boolean waitingForCaller) implements ForwardOutcome {}
}
