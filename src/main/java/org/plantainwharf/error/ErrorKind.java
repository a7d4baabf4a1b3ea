package org.plantainwharf.error;

import java.util.Locale;

/**
 * All errors that the system reports, with the response that callers and operators get.
 *
 * <p>The list is closed: every new error is added here. Names, statuses and message templates are part of the callers'
 * interface. Immutable.
 */
public enum ErrorKind {
    MALFORMED_JSON(400, Ran.NO, false, "body is not valid JSON: %s"),
    REQUEST_INVALID(400, Ran.NO, false, "request is invalid: %s"),
    BODY_TOO_LARGE(413, Ran.NO, false, "body exceeds %s bytes"),
    HEADERS_TOO_LARGE(431, Ran.NO, false, "headers exceed %s bytes"),
    METHOD_NOT_ALLOWED(405, Ran.NO, false, "method %s is not allowed here"),
    UNAUTHENTICATED(401, Ran.NO, false, "account key is missing or unknown"),
    RANK_NOT_ALLOWED(403, Ran.NO, false, "rank %s is unknown or not allowed for this account"),
    UNKNOWN_ROUTE(404, Ran.NO, false, "route %s does not exist"),
    UNKNOWN_MODEL(404, Ran.NO, false, "model %s is not served"),
    IDEMPOTENCY_KEY_MISSING(400, Ran.NO, false, "route %s needs the header Idempotency-Key"),
    IDEMPOTENCY_KEY_INVALID(400, Ran.NO, false, "Idempotency-Key must have 1 to 200 visible ASCII characters"),
    IDEMPOTENCY_KEY_REUSED(422, Ran.NO, false, "this idempotency key was used with another body or route"),
    IDEMPOTENCY_KEY_EXPIRED(410, Ran.NO, false, "this idempotency key was used and its answer is no longer kept"),
    ORDER_IN_PROGRESS(409, Ran.UNKNOWN, true, "a call with this idempotency key is still running"),
    OUTCOME_UNKNOWN(502, Ran.UNKNOWN, false, "the call may have run; its outcome was lost"),
    NO_QUORUM_NOT_RUN(503, Ran.NO, true, "this host cannot reach the majority, so the call was not run"),
    NO_QUORUM(503, Ran.UNKNOWN, true, "this host cannot reach the majority"),
    ACCOUNT_LIMIT_EXCEEDED(429, Ran.NO, true, "account %s is over its limit"),
    ACCOUNT_QUEUE_FULL(429, Ran.NO, true, "queue of account %s is full"),
    RANK_QUEUE_FULL(503, Ran.NO, true, "queue of rank %s is full"),
    ENTRY_QUEUE_FULL(503, Ran.NO, true, "this host's event queue is full"),
    DEADLINE_UNREACHABLE(503, Ran.NO, true, "predicted wait of %s ms exceeds the remaining time"),
    QUEUE_TIMEOUT(503, Ran.NO, true, "deadline passed while the request was queued"),
    NO_SERVER_AVAILABLE(503, Ran.NO, true, "no backend server is available for %s"),
    REQUEST_QUARANTINED(422, Ran.NO, false, "this request crashed backend servers and is quarantined"),
    SERVER_REFUSED(503, Ran.NO, true, "backend servers refused the request before running it"),
    SERVER_FAILED(502, Ran.UNKNOWN, true, "backend server failed: %s"),
    DEADLINE_EXCEEDED(504, Ran.UNKNOWN, true, "deadline passed while the request ran"),
    ANSWER_TRUNCATED(502, Ran.UNKNOWN, true, "answer ended before it was complete"),
    ANSWER_MISMATCHED(502, Ran.UNKNOWN, true, "backend server answered another request"),
    ANSWER_TOO_LARGE(502, Ran.YES, false, "answer exceeds %s bytes"),
    RETRY_BUDGET_EXHAUSTED(503, Ran.UNKNOWN, true, "retry budget is exhausted after: %s"),
    DRAINING(503, Ran.NO, true, "this host is stopping"),
    CONFIGURATION_MISSING(503, Ran.NO, true, "this host has no configuration yet"),
    WORK_NOT_FOUND(404, Ran.NO, false, "work %s does not exist for this account"),
    WORK_NOT_FINISHED(409, Ran.UNKNOWN, true, "work %s is not finished"),
    CALLER_CANCELLED(499, Ran.UNKNOWN, false, "caller closed the connection"),
    SHEET_INVALID(422, Ran.NO, false, "sheet has errors: %s"),
    SHEET_VERSION_CONFLICT(409, Ran.NO, false, "sheet version %s is in force with digest %s"),
    SHEET_VERSION_STALE(409, Ran.NO, false, "sheet version %s is older than version %s in force"),
    DOCUMENT_INVALID(422, Ran.NO, false, "document has errors: %s"),
    SETTINGS_INVALID(422, Ran.NO, false, "settings have errors: %s"),
    FRAME_INVALID(400, Ran.NO, false, "frame from peer cannot be decoded: %s"),
    STORAGE_FAILED(500, Ran.NO, false, "storage failed: %s"),
    LOG_CORRUPT(500, Ran.NO, false, "log file %s is corrupt at offset %s"),
    INTERNAL_ERROR(500, Ran.UNKNOWN, false, "internal error");

    private final int httpStatus;
    private final Ran ran;
    private final boolean retryable;
    private final String messageTemplate;

    ErrorKind(int httpStatus, Ran executionStatus, boolean retryable, String messageTemplate) {
        this.httpStatus = httpStatus;
        this.ran = executionStatus;
        this.retryable = retryable;
        this.messageTemplate = messageTemplate;
    }

    /** Returns the HTTP status of the response. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether the request ran. A {@link Failure} may state it more precisely. */
    public Ran ran() {
        return ran;
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
