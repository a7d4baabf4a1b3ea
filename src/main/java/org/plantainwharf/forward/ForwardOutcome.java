package org.plantainwharf.forward;

import java.util.OptionalLong;

/** How an attempt at a server ended. Immutable. */
public sealed interface ForwardOutcome {
    /** The whole answer was passed on. */
    record Completed() implements ForwardOutcome {}

    /**
     * The server said that it has not run the request.
     *
     * @param retryAfterMillis when the server asks to come back
     */
    record Refused(int httpStatus, OptionalLong retryAfterMillis) implements ForwardOutcome {}

    /** No byte was handed to a connection. */
    record NotSent(String reason) implements ForwardOutcome {}

    /** The server ran the request and answered with a failure, which is held back and can be passed on. */
    record Failed(int httpStatus) implements ForwardOutcome {}

    /**
     * The connection broke or the answer was not one to this request; the request may have run.
     *
     * @param begun whether part of the answer has reached the caller
     */
    record Broken(boolean begun, String reason) implements ForwardOutcome {}

    /**
     * The attempt was cancelled here.
     *
     * @param passedBytes bytes of the answer that were passed on
     * @param waitingForCaller whether the caller had not taken the last of them
     */
    record Cancelled(long passedBytes, boolean waitingForCaller) implements ForwardOutcome {}
}
