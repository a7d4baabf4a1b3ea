package org.plantainwharf.front;

import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.error.Failure;
import org.plantainwharf.metric.Telemetry;

/**
 * Logs and counts the answers that the HTTP library gives by itself on one listener. No other component sees such a
 * request, so that without a line nothing tells why its caller got that status. Immutable; thread-safe.
 */
public final class LibraryAnswers {
    private final String listener;
    private final String requestIdHeader;
    private final Telemetry telemetry;

    private LibraryAnswers(String listener, String requestIdHeader, Telemetry telemetry) {
        this.listener = listener;
        this.requestIdHeader = requestIdHeader;
        this.telemetry = telemetry;
    }

    /**
     * Returns the log of one listener.
     *
     * @param listener name of the listener in log lines
     * @param requestIdHeader header in which callers of this listener send the id of a request
     */
    public static LibraryAnswers create(String listener, String requestIdHeader, Telemetry telemetry) {
        return new LibraryAnswers(listener, requestIdHeader, telemetry);
    }

    /** Returns the log of a listener whose callers send ids in {@code X-Request-Id}. */
    public static LibraryAnswers create(String listener, Telemetry telemetry) {
        return create(listener, "X-Request-Id", telemetry);
    }

    /** Returns the failure for which the library answers a request, or null if it names none. */
    static @Nullable Throwable cause(Request request) {
        return request.getAttribute(ErrorHandler.ERROR_EXCEPTION) instanceof Throwable cause ? cause : null;
    }

    /**
     * Records an answer.
     *
     * @param libraryStatus HTTP status that the library chose
     * @param failure the answer that is sent
     * @param answerId the id in the answer
     */
    void record(Request request, int libraryStatus, Failure failure, String answerId) {
        MetricRegistry metrics = telemetry.metrics();
        metrics.counter("front.library_answers").inc();
        metrics.counter("front.library_answers." + failure.kind().code()).inc();
        metrics.counter(failure.kind().metricName()).inc();
        @Nullable Throwable cause = cause(request);
        telemetry
                .log()
                .write(
                        "library_answer",
                        "listener",
                        listener,
                        "request",
                        ExternalText.sanitize(
                                Optional.ofNullable(request.getHeaders().get(requestIdHeader))
                                        .orElse("")),
                        "answer_id",
                        answerId,
                        "library_status",
                        libraryStatus,
                        "status",
                        failure.kind().httpStatus(),
                        "kind",
                        failure.kind().code(),
                        "cause",
                        cause == null ? "" : describe(cause),
                        "head_complete",
                        // The library passes on no header of a head that it has not read completely.
                        request.getHeaders().size() > 0,
                        "body_bytes",
                        Request.getContentBytesRead(request));
    }

    /** Returns the class and the message of a cause, safe in a log line. */
    static String describe(Throwable cause) {
        String message = String.valueOf(cause.getMessage());
        return ExternalText.sanitize(cause.getClass().getSimpleName() + ": " + message);
    }
}
