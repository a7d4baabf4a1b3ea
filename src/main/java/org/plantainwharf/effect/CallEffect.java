package org.plantainwharf.effect;

import org.plantainwharf.call.Content;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.RequestId;

/** Answers to callers. Each request gets exactly one of these, unless its answer was streamed. Immutable. */
public sealed interface CallEffect extends Effect {
    /** Returns the id of the request to answer. */
    RequestId request();

    /** Answers with an error. If the stream has started, sends an error event and ends the stream. */
    record FailCall(RequestId request, Failure failure) implements CallEffect {}

    /** Answers with a buffered or stored response. */
    record AnswerCall(RequestId request, int httpStatus, Content answer) implements CallEffect {}

    /** Ends a streamed answer normally. */
    record FinishStream(RequestId request) implements CallEffect {}

    /** Answers that long work was accepted. */
    record AcceptCall(RequestId request) implements CallEffect {}

    /**
     * Reports that accepted work is not finished.
     *
     * @param attempt number of the current or last attempt, 0 before the first
     */
    record ReportPending(RequestId request, RequestId work, int attempt) implements CallEffect {}

    /**
     * Reports that accepted work is finished, without its answer.
     *
     * @param length length of the answer in bytes
     * @param digest lower-case hexadecimal SHA-256 of the answer
     */
    record ReportFinished(RequestId request, RequestId work, int httpStatus, int length, String digest)
            implements CallEffect {}
}
