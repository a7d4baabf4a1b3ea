package org.plantainwharf.event;

import org.plantainwharf.error.ExecutionStatus;

/** Why an attempt ended without a complete response. Immutable. */
public sealed interface AttemptProblem {
    /** Returns what is known about whether the request ran on the server. */
    ExecutionStatus executionStatus();

    /** Returns the name used in metrics, for example {@code connect_failed}. */
    String code();

    /** No connection could be opened. */
    record ConnectFailed() implements AttemptProblem {
        @Override
        public ExecutionStatus executionStatus() {
            return ExecutionStatus.NO;
        }

        @Override
        public String code() {
            return "connect_failed";
        }
    }

    /**
     * The server rejected the request without running it.
     *
     * @param leaving whether it did so because it is shutting down
     */
    record RefusedBeforeRunning(boolean leaving) implements AttemptProblem {
        @Override
        public ExecutionStatus executionStatus() {
            return ExecutionStatus.NO;
        }

        @Override
        public String code() {
            return leaving ? "refused_leaving" : "refused";
        }
    }

    /** The server answered with an error status. */
    record ServerError(int httpStatus) implements AttemptProblem {
        @Override
        public ExecutionStatus executionStatus() {
            return ExecutionStatus.UNKNOWN;
        }

        @Override
        public String code() {
            return "server_error";
        }
    }

    /** The connection closed before the response was complete. */
    record ConnectionLost() implements AttemptProblem {
        @Override
        public ExecutionStatus executionStatus() {
            return ExecutionStatus.UNKNOWN;
        }

        @Override
        public String code() {
            return "connection_lost";
        }
    }

    /** No byte arrived on the open connection within the idle timeout, and a probe did not show the server as healthy. */
    record ConnectionSilent() implements AttemptProblem {
        @Override
        public ExecutionStatus executionStatus() {
            return ExecutionStatus.UNKNOWN;
        }

        @Override
        public String code() {
            return "connection_silent";
        }
    }

    /** The response carried the identity of another request. */
    record AnswerMismatched() implements AttemptProblem {
        @Override
        public ExecutionStatus executionStatus() {
            return ExecutionStatus.UNKNOWN;
        }

        @Override
        public String code() {
            return "answer_crossed";
        }
    }

    /** The response was incomplete although the connection was closed normally. */
    record AnswerTruncated() implements AttemptProblem {
        @Override
        public ExecutionStatus executionStatus() {
            return ExecutionStatus.UNKNOWN;
        }

        @Override
        public String code() {
            return "answer_truncated";
        }
    }

    /** The body of a buffered response exceeded the size limit. */
    record AnswerTooLarge() implements AttemptProblem {
        @Override
        public ExecutionStatus executionStatus() {
            return ExecutionStatus.YES;
        }

        @Override
        public String code() {
            return "answer_too_large";
        }
    }

    /**
     * This host cancelled the attempt.
     *
     * @param sent whether any byte of the request had been sent
     */
    record Cancelled(boolean sent) implements AttemptProblem {
        @Override
        public ExecutionStatus executionStatus() {
            return sent ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO;
        }

        @Override
        public String code() {
            return "cancelled";
        }
    }
}
