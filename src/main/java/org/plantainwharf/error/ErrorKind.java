package org.plantainwharf.error;

import java.util.Locale;

/**
 * All errors that the system reports, with the response that callers and operators get.
 *
 * <p>The list is closed: every new error is added here. Names, statuses and message templates are part of the callers'
 * interface. Immutable.
 */
public enum ErrorKind {
    MALFORMED_JSON(400, ExecutionStatus.NO, false, "body is not valid JSON: %s"),
    REQUEST_INVALID(400, ExecutionStatus.NO, false, "request is invalid: %s"),
    BODY_TOO_LARGE(413, ExecutionStatus.NO, false, "body exceeds %s bytes"),
    BODY_TIMEOUT(408, ExecutionStatus.NO, true, "body did not arrive in time"),
    REQUEST_NOT_RECEIVED(503, ExecutionStatus.NO, true, "the request was not received completely: %s"),
    BODY_MEMORY_FULL(503, ExecutionStatus.NO, true, "this host has no memory left for a body of %s bytes"),
    HEADERS_TOO_LARGE(431, ExecutionStatus.NO, false, "headers exceed %s bytes"),
    METHOD_NOT_ALLOWED(405, ExecutionStatus.NO, false, "method %s is not allowed here"),
    UNAUTHENTICATED(401, ExecutionStatus.NO, false, "account key is missing or unknown"),
    RANK_NOT_ALLOWED(403, ExecutionStatus.NO, false, "rank %s is unknown or not allowed for this account"),
    UNKNOWN_ROUTE(404, ExecutionStatus.NO, false, "route %s does not exist"),
    UNKNOWN_MODEL(404, ExecutionStatus.NO, false, "model %s is not served"),
    IDEMPOTENCY_KEY_MISSING(400, ExecutionStatus.NO, false, "route %s needs the header Idempotency-Key"),
    IDEMPOTENCY_KEY_INVALID(
            400, ExecutionStatus.NO, false, "Idempotency-Key must have 1 to 200 visible ASCII characters"),
    IDEMPOTENCY_KEY_REUSED(422, ExecutionStatus.NO, false, "this idempotency key was used with another body or route"),
    IDEMPOTENCY_KEY_EXPIRED(
            410, ExecutionStatus.NO, false, "this idempotency key was used and its answer is no longer kept"),
    ORDER_IN_PROGRESS(409, ExecutionStatus.UNKNOWN, true, "a call with this idempotency key is still running"),
    OUTCOME_UNKNOWN(502, ExecutionStatus.UNKNOWN, false, "the call may have run; its outcome was lost"),
    NO_QUORUM_NOT_RUN(503, ExecutionStatus.NO, true, "this host cannot reach the majority, so the call was not run"),
    NO_QUORUM(503, ExecutionStatus.UNKNOWN, true, "this host cannot reach the majority"),
    ACCOUNT_LIMIT_EXCEEDED(429, ExecutionStatus.NO, true, "account %s is over its limit"),
    ACCOUNT_QUEUE_FULL(429, ExecutionStatus.NO, true, "queue of account %s is full"),
    RANK_QUEUE_FULL(503, ExecutionStatus.NO, true, "queue of rank %s is full"),
    ENTRY_QUEUE_FULL(503, ExecutionStatus.NO, true, "this host's event queue is full"),
    DEADLINE_UNREACHABLE(503, ExecutionStatus.NO, true, "predicted wait of %s ms exceeds the remaining time"),
    QUEUE_TIMEOUT(503, ExecutionStatus.NO, true, "deadline passed while the request was queued"),
    NO_SERVER_AVAILABLE(503, ExecutionStatus.NO, true, "no backend server is available for %s"),
    SERVERS_UNREACHABLE(503, ExecutionStatus.NO, true, "this host reaches no backend server of %s"),
    HELPER_FULL(503, ExecutionStatus.NO, true, "this host has no room for requests of other hosts"),
    SERVERS_AT_LIMIT(503, ExecutionStatus.NO, true, "backend servers for %s get as many requests as they accept"),
    SERVERS_OVERLOADED(503, ExecutionStatus.NO, true, "backend servers for %s cannot begin the request in time"),
    NO_ROOM_IN_TIME(503, ExecutionStatus.NO, false, "backend servers for %s have no room for the request in time"),
    REQUEST_QUARANTINED(
            422,
            ExecutionStatus.NO,
            false,
            "this request or a part of its prompt crashed backend servers and is quarantined"),
    REQUEST_CRASHED_SERVERS(
            502, ExecutionStatus.UNKNOWN, false, "this request or a part of its prompt crashed backend servers"),
    CONTENT_SUSPECTED(
            503, ExecutionStatus.NO, true, "a part of this request was at crashes of backend servers and is held back"),
    STREAM_VERSION_GONE(
            503, ExecutionStatus.NO, false, "no server runs the software version %s that began this stream"),
    STREAM_ORIGIN_UNKNOWN(503, ExecutionStatus.NO, true, "it is not known which software version began this stream"),
    SERVER_REFUSED(503, ExecutionStatus.NO, true, "backend servers refused the request before running it"),
    SERVER_FAILED(502, ExecutionStatus.UNKNOWN, true, "backend server failed: %s"),
    DEADLINE_EXCEEDED(504, ExecutionStatus.UNKNOWN, true, "deadline passed while the request ran"),
    ANSWER_TRUNCATED(502, ExecutionStatus.UNKNOWN, true, "answer ended before it was complete"),
    ANSWER_MISMATCHED(502, ExecutionStatus.UNKNOWN, true, "backend server answered another request"),
    ANSWER_TOO_LARGE(502, ExecutionStatus.YES, false, "answer exceeds %s bytes"),
    RETRY_BUDGET_EXHAUSTED(503, ExecutionStatus.UNKNOWN, true, "retry budget is exhausted after: %s"),
    DRAINING(503, ExecutionStatus.NO, true, "this host is stopping"),
    CONFIGURATION_MISSING(503, ExecutionStatus.NO, true, "this host has no configuration yet"),
    CONFIGURATION_OUTDATED(
            503,
            ExecutionStatus.NO,
            true,
            "route or account key is unknown to this host, whose configuration may be outdated"),
    WORK_NOT_FOUND(404, ExecutionStatus.NO, false, "work %s does not exist for this account"),
    WORK_NOT_FINISHED(409, ExecutionStatus.UNKNOWN, true, "work %s is not finished"),
    CALLER_CANCELLED(499, ExecutionStatus.UNKNOWN, false, "caller closed the connection"),
    SHEET_INVALID(422, ExecutionStatus.NO, false, "sheet has errors: %s"),
    SHEET_VERSION_CONFLICT(409, ExecutionStatus.NO, false, "sheet version %s is in force with digest %s"),
    SHEET_VERSION_STALE(409, ExecutionStatus.NO, false, "sheet version %s is older than version %s in force"),
    DOCUMENT_INVALID(422, ExecutionStatus.NO, false, "document has errors: %s"),
    ROLLOUT_INVALID(400, ExecutionStatus.NO, false, "rollout order has errors: %s"),
    ROLLOUT_CONFLICT(409, ExecutionStatus.NO, false, "a rollout of %s to version %s is in progress"),
    ROLLOUT_NOT_FOUND(404, ExecutionStatus.NO, false, "no rollout of service %s was ever begun"),
    ROLLOUT_UNDECIDED(
            503,
            ExecutionStatus.UNKNOWN,
            true,
            "order of a rollout of service %s was not decided in time; the same order may be sent again to any host"),
    ROLLOUT_SERVICE_UNCONFIRMED(
            503, ExecutionStatus.NO, true, "service %s is unknown to this host, whose configuration may be outdated"),
    SETTINGS_INVALID(422, ExecutionStatus.NO, false, "settings have errors: %s"),
    FRAME_INVALID(400, ExecutionStatus.NO, false, "frame from peer cannot be decoded: %s"),
    STORAGE_FAILED(500, ExecutionStatus.NO, false, "storage failed: %s"),
    LOG_CORRUPT(500, ExecutionStatus.NO, false, "log file %s is corrupt at offset %s"),
    HANDLING_FAILED(
            503, ExecutionStatus.NO, true, "this host could not handle the request because of an internal error"),
    INTERNAL_ERROR(500, ExecutionStatus.UNKNOWN, false, "internal error");

    private final int httpStatus;
    private final ExecutionStatus executionStatus;
    private final boolean retryable;
    private final String messageTemplate;

    ErrorKind(int httpStatus, ExecutionStatus executionStatus, boolean retryable, String messageTemplate) {
        this.httpStatus = httpStatus;
        this.executionStatus = executionStatus;
        this.retryable = retryable;
        this.messageTemplate = messageTemplate;
    }

    /** Returns the HTTP status of the response. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether the request ran. A {@link Failure} may state it more precisely. */
    public ExecutionStatus executionStatus() {
        return executionStatus;
    }

    /** Returns whether the caller may resend the same request. */
    public boolean retryable() {
        return retryable;
    }

    /** Returns the message template in the syntax of {@link String#format}. */
    public String messageTemplate() {
        return messageTemplate;
    }

    /** Returns the name of the error's counter, for example {@code errors.account_limit_exceeded}. */
    public String metricName() {
        return "errors." + code();
    }

    /** Returns the name used in responses and logs, for example {@code account_limit_exceeded}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
