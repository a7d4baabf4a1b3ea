package org.plantainwharf.front;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BiConsumer;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.backend.ForwardExchange;
import org.plantainwharf.error.Failure;

/**
 * HTTP side of a forwarded request: the exchange with the caller. Its state on the control thread is a {@link
 * org.plantainwharf.forward.ForwardCall}; the ticket, a number unique within the daemon, joins the two. Invariants: at
 * most one answer is started; an answer that cannot be completed lacks its {@link EndMarker}, so that the caller cannot
 * mistake it for a complete one.
 *
 * <p>Thread-safe: the state is guarded by this object's lock, which is not held while Jetty is called.
 */
final class ForwardedCall implements ForwardExchange {
    private final String requestId;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final String method;
    private final String pathQuery;
    private final List<HttpField> headers;
    private final byte[] body;
    private final boolean closeConnection;
    private final Callbacks callbacks;
    private @Nullable HeldFailure heldFailure;
    private @Nullable String lastEventId;
    private Optional<EndMarker> endMarker = Optional.empty();
    private boolean answerStarted;
    private boolean ended;
    private boolean submitted;
    private boolean disconnectedBeforeSubmission;

    /**
     * Callbacks for the life cycle of an answer. Immutable.
     *
     * @param onBegin run once when the answer of a server starts
     * @param onEnd run once when the answer has ended or the caller has disconnected
     * @param onBrokenOff receives, before {@code onEnd}, the mark that the caller misses and the reason, if an answer that
     *     has started is not completed although the caller is there
     * @param onDisconnect run once if the caller disconnects before the answer has ended, but not before the request
     *     was submitted to the control thread
     */
    record Callbacks(
            Runnable onBegin, Runnable onEnd, BiConsumer<EndMarker, String> onBrokenOff, Runnable onDisconnect) {
        /** Returns callbacks that do nothing. */
        static Callbacks none() {
            return new Callbacks(() -> {}, () -> {}, (marker, reason) -> {}, () -> {});
        }
    }

    /** A server's error response that may be sent to the caller. */
    private record HeldFailure(int httpStatus, List<HttpField> headers, byte[] body) {}

    /**
     * Creates a call from a request whose body has been read.
     *
     * @param closeConnection whether the answer asks the caller to close the connection
     * @param callbacks run at the start and the end of the answer
     */
    ForwardedCall(
            String requestId,
            HttpTransaction transaction,
            List<HttpField> headers,
            byte[] body,
            boolean closeConnection,
            Callbacks callbacks) {
        this.requestId = requestId;
        this.request = transaction.request();
        this.response = transaction.response();
        this.callback = transaction.callback();
        this.method = request.getMethod();
        this.pathQuery = request.getHttpURI().getPathQuery();
        this.headers = List.copyOf(headers);
        this.body = body;
        this.closeConnection = closeConnection;
        this.callbacks = callbacks;
    }

    @Override
    public String requestId() {
        return requestId;
    }

    @Override
    public String method() {
        return method;
    }

    @Override
    public String pathQuery() {
        return pathQuery;
    }

    @Override
    public List<HttpField> headers() {
        return headers;
    }

    @Override
    public byte[] body() {
        return body;
    }

    @Override
    public synchronized boolean isOpen() {
        return !ended;
    }

    /** Starts watching for a disconnect of the caller. */
    void watchCaller() {
        DisconnectWatch.start(request, () -> callerLost(new EofException("the caller disconnected")));
    }

    /**
     * Marks the request as submitted to the control thread. A disconnect is reported from now on, and at once if it has
     * already happened, so that the control thread never sees it before the request.
     */
    void markSubmitted() {
        boolean report;
        synchronized (this) {
            submitted = true;
            report = disconnectedBeforeSubmission;
        }
        if (report) {
            callbacks.onDisconnect().run();
        }
    }

    @Override
    public void begin(int httpStatus, List<HttpField> answerHeaders) {
        synchronized (this) {
            if (answerStarted || ended) {
                return;
            }
            answerStarted = true;
        }
        callbacks.onBegin().run();
        setHead(httpStatus, answerHeaders);
        EndMarker marker = EndMarker.prepare(request, response);
        synchronized (this) {
            endMarker = Optional.of(marker);
        }
    }

    private void setHead(int httpStatus, List<HttpField> answerHeaders) {
        response.setStatus(httpStatus);
        answerHeaders.forEach(response.getHeaders()::add);
        if (closeConnection) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
        }
    }

    @Override
    public void write(ByteBuffer bytes, Callback written) {
        boolean discard;
        synchronized (this) {
            discard = ended;
        }
        if (discard) {
            written.failed(new EofException("the caller disconnected"));
            return;
        }
        response.write(false, bytes, Callback.from(written::succeeded, cause -> {
            callerLost(cause);
            written.failed(cause);
        }));
    }

    @Override
    public void complete() {
        if (markEnded()) {
            DisconnectWatch.stop(request);
            callbacks.onEnd().run();
            endMarker().ifPresent(EndMarker::beforeLastWrite);
            callback.succeeded();
        }
    }

    private synchronized Optional<EndMarker> endMarker() {
        return endMarker;
    }

    @Override
    public synchronized void recordFailureResponse(int httpStatus, List<HttpField> answerHeaders, byte[] answerBody) {
        heldFailure = new HeldFailure(httpStatus, List.copyOf(answerHeaders), answerBody);
    }

    /** Sends the server's error response that was held back. An answer that has started is aborted instead. */
    void sendHeldFailure() {
        HeldFailure failure;
        boolean started;
        synchronized (this) {
            failure = heldFailure;
            started = answerStarted;
        }
        if (failure == null || started) {
            abort("the attempt failed after the answer had started");
            return;
        }
        answer(failure.httpStatus(), failure.headers(), failure.body());
    }

    /** Answers with an error of this system. An answer that has started is aborted instead. */
    void refuse(Failure failure) {
        boolean started;
        synchronized (this) {
            started = answerStarted;
        }
        if (started) {
            abort(failure.message());
            return;
        }
        byte[] text = FailureBody.toJson(failure, requestId).getBytes(StandardCharsets.UTF_8);
        List<HttpField> fields = new java.util.ArrayList<>();
        fields.add(new HttpField(HttpHeader.CONTENT_TYPE, "application/json"));
        fields.add(new HttpField(HttpHeader.CONTENT_LENGTH, String.valueOf(text.length)));
        failure.retryAfter()
                .ifPresent(delay -> fields.add(new HttpField(
                        HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", delay.toMillis() / 1_000.0))));
        answer(failure.kind().httpStatus(), fields, text);
    }

    private void answer(int httpStatus, List<HttpField> answerHeaders, byte[] answerBody) {
        if (!markEnded()) {
            return;
        }
        setHead(httpStatus, answerHeaders);
        DisconnectWatch.stop(request);
        callbacks.onEnd().run();
        response.write(true, ByteBuffer.wrap(answerBody), callback);
    }

    /** Closes the connection without completing the answer. */
    void abort(String reason) {
        if (markEnded()) {
            DisconnectWatch.stop(request);
            endMarker().ifPresent(marker -> callbacks.onBrokenOff().accept(marker, reason));
            callbacks.onEnd().run();
            endMarker().ifPresent(EndMarker::breakOff);
            callback.failed(new EofException(reason));
        }
    }

    private synchronized boolean markEnded() {
        boolean endedNow = !ended;
        ended = true;
        return endedNow;
    }

    private void callerLost(Throwable cause) {
        if (!markEnded()) {
            return;
        }
        DisconnectWatch.stop(request);
        callbacks.onEnd().run();
        boolean report;
        synchronized (this) {
            report = submitted;
            disconnectedBeforeSubmission = !submitted;
        }
        if (report) {
            callbacks.onDisconnect().run();
        }
        callback.failed(cause);
    }

    @Override
    public synchronized Optional<String> lastEventId() {
        return Optional.ofNullable(lastEventId);
    }

    @Override
    public synchronized void setLastEventId(String id) {
        lastEventId = id;
    }
}
