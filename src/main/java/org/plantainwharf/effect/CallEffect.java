package org.plantainwharf.effect;

import org.plantainwharf.call.Content;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.RequestId;

/** What to tell a caller. Each request gets exactly one of these, unless its answer was streamed. Immutable. */
public sealed interface CallEffect extends Effect {
    /** The request. */
    RequestId request();

    /** Answers with an error. On a stream that has begun, sends an error event and ends it. */
    record FailCall(RequestId request, Failure failure) implements CallEffect {}

    /** Answers with a collected or stored answer. */
    record AnswerCall(RequestId request, int httpStatus, Content answer) implements CallEffect {}

    /** Ends a streamed answer in order. */
    record FinishStream(RequestId request) implements CallEffect {}

    /** Answers that long work was accepted. */
    record AcceptCall(RequestId request) implements CallEffect {}

    /** Answers that accepted work has no answer yet. */
    record ReportPending(RequestId request, RequestId work, int attempt) implements CallEffect {}

    /** Answers that accepted work is finished, without its answer. */
    record ReportFinished(RequestId request, RequestId work, int httpStatus, int length, String digest)
            implements CallEffect {}
}
