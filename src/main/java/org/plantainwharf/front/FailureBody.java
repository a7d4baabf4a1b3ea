package org.plantainwharf.front;

import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.error.Failure;

/**
 * Encodes failures as JSON: {@code {"error":{"code","message","ran","retry","request_id"}}}. Stateless; thread-safe.
 */
final class FailureBody {
    private static final ObjectMapper JSON = new ObjectMapper();

    private FailureBody() {}

    /** Returns the JSON body, on one line. */
    static String toJson(Failure failure, String requestId) {
        ObjectNode body = JSON.createObjectNode();
        body.putObject("error")
                .put("code", failure.kind().code())
                .put("message", failure.message())
                .put("ran", executionStatus(failure))
                .put("retry", failure.kind().retryable() && failure.executionStatus() != ExecutionStatus.YES)
                .put("request_id", requestId);
        return body.toString();
    }

    /** Returns whether the request ran: {@code no}, {@code yes} or {@code unknown}. */
    static String executionStatus(Failure failure) {
        return failure.executionStatus().name().toLowerCase(Locale.ROOT);
    }

    /** Returns the value of {@code Retry-After}: seconds, rounded up to an integer of at least 1. */
    static String retryAfterSeconds(java.time.Duration delay) {
        return String.valueOf(Math.max(1, (delay.toMillis() + 999) / 1_000));
    }
}
