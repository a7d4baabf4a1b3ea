package org.plantainwharf.event;

import org.plantainwharf.error.Ran;

/** Why an attempt ended without a whole answer. Immutable. */
public sealed interface AttemptProblem {
    /** What the problem says about whether the request ran on the server. */
    Ran ran();

    /** Name used in counters, for example {@code connect_failed}. */
    String code();

    /** No connection could be opened. */
    record ConnectFailed() implements AttemptProblem {
        @Override
        public Ran ran() {
            return Ran.NO;
        }

        @Override
        public String code() {
            return "connect_failed";
        }
    }

    /** The server refused before running; {@code leaving} if that was the reason. */
    record RefusedBeforeRunning(boolean leaving) implements AttemptProblem {
        @Override
        public Ran ran() {
            return Ran.NO;
        }

        @Override
        public String code() {
            return leaving ? "refused_leaving" : "refused";
        }
    }

    /** The server answered with an error status. */
    record ServerError(int httpStatus) implements AttemptProblem {
        @Override
        public Ran ran() {
            return Ran.UNKNOWN;
        }

        @Override
        public String code() {
            return "server_error";
        }
    }

    /** The connection closed before the answer was whole. */
    record ConnectionLost() implements AttemptProblem {
        @Override
        public Ran ran() {
            return Ran.UNKNOWN;
        }

        @Override
        public String code() {
            return "connection_lost";
        }
    }

    /** The connection stayed open without a byte for longer than allowed, and a probe did not clear it. */
    record ConnectionSilent() implements AttemptProblem {
        @Override
        public Ran ran() {
            return Ran.UNKNOWN;
        }

        @Override
        public String code() {
            return "connection_silent";
        }
    }

    /** The answer carried the identity of another request. */
    record AnswerCrossed() implements AttemptProblem {
        @Override
        public Ran ran() {
            return Ran.UNKNOWN;
        }

        @Override
        public String code() {
            return "answer_crossed";
        }
    }

    /** The answer ended early although its connection closed in order. */
    record AnswerTruncated() implements AttemptProblem {
        @Override
        public Ran ran() {
            return Ran.UNKNOWN;
        }

        @Override
        public String code() {
            return "answer_truncated";
        }
    }

    /** A collected answer was larger than allowed. */
    record AnswerTooLarge() implements AttemptProblem {
        @Override
        public Ran ran() {
            return Ran.YES;
        }

        @Override
        public String code() {
            return "answer_too_large";
        }
    }

    /** This host cancelled the attempt. */
    record Cancelled(boolean sent) implements AttemptProblem {
        @Override
        public Ran ran() {
            return sent ? Ran.UNKNOWN : Ran.NO;
        }

        @Override
        public String code() {
            return "cancelled";
        }
    }
}
