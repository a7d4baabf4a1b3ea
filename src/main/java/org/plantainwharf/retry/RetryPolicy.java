package org.plantainwharf.retry;

import java.time.Duration;

import org.plantainwharf.admission.Destination;
import org.plantainwharf.call.Call;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.AttemptProblem;

/**
 * Classifies the problems of attempts: whether a retry makes sense, whether it needs budget, and which failure the
 * caller gets. Stateless.
 */
final class RetryPolicy {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private RetryPolicy() {}

    /** Returns whether another attempt may succeed. */
    static boolean isRetryable(AttemptProblem problem) {
        return switch (problem) {
            case AttemptProblem.ConnectFailed failed -> true;
            case AttemptProblem.RefusedBeforeRunning refused -> true;
            case AttemptProblem.ServerError error ->
                error.httpStatus() >= FIRST_SERVER_ERROR
                        || error.httpStatus() == TOO_MANY_REQUESTS
                        || error.httpStatus() == REQUEST_TIMEOUT;
            case AttemptProblem.ConnectionLost lost -> true;
            case AttemptProblem.ConnectionSilent silent -> true;
            case AttemptProblem.AnswerMismatched crossed -> true;
            case AttemptProblem.AnswerTruncated truncated -> true;
            case AttemptProblem.AnswerTooLarge large -> false;
            case AttemptProblem.Cancelled cancelled -> false;
        };
    }

    /**
     * Returns whether a retry needs budget. A leaving server refuses before it does any work for the call, and a
     * planned stop must not use up the budget intended for faults.
     */
    static boolean needsBudget(AttemptProblem problem) {
        return !(problem instanceof AttemptProblem.RefusedBeforeRunning refused && refused.leaving());
    }

    /** Returns the failure to report to the caller if no further attempt is made. */
    static Failure failure(AttemptProblem problem, Call call, int maximumAnswerBytes) {
        return switch (problem) {
            case AttemptProblem.ConnectFailed failed ->
                Failure.of(
                                ErrorKind.NO_SERVER_AVAILABLE,
                                Destination.of(call.kind()).label())
                        .withRetryAfter(RETRY_AFTER);
            case AttemptProblem.RefusedBeforeRunning refused ->
                Failure.of(ErrorKind.SERVER_REFUSED).withRetryAfter(RETRY_AFTER);
            case AttemptProblem.ServerError error ->
                Failure.of(ErrorKind.SERVER_FAILED, "status " + error.httpStatus());
            case AttemptProblem.ConnectionLost lost -> Failure.of(ErrorKind.SERVER_FAILED, lost.code());
            case AttemptProblem.ConnectionSilent silent -> Failure.of(ErrorKind.SERVER_FAILED, silent.code());
            case AttemptProblem.AnswerMismatched crossed -> Failure.of(ErrorKind.ANSWER_MISMATCHED);
            case AttemptProblem.AnswerTruncated truncated -> Failure.of(ErrorKind.ANSWER_TRUNCATED);
            case AttemptProblem.AnswerTooLarge large -> Failure.of(ErrorKind.ANSWER_TOO_LARGE, maximumAnswerBytes);
            case AttemptProblem.Cancelled cancelled -> Failure.of(ErrorKind.CALLER_CANCELLED);
        };
    }
}
