package org.plantainwharf.front;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.plantainwharf.backend.ResponseSink;
import org.plantainwharf.call.Content;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.RequestId;

/**
 * A request and its answer. Invariants: what begins an answer and what ends it decide in one step, with the lock held, so
 * that at most one answer is written, and nothing after it; an answer that is not streamed is sent with its length; a
 * stream ends with {@code [DONE]} only if it is complete.
 *
 * <p>Thread-safe: the state is guarded by this object's lock. Jetty allows one write at a time, so further writes are
 * queued. The queue stays short because a writer waits until its bytes have been consumed.
 */
final class HttpExchange implements ResponseSink {
    private static final String EVENT_STREAM = "text/event-stream";

    /** State of the answer. */
    private sealed interface AnswerState {
        /** Nothing has been written or decided. */
        record NotStarted() implements AnswerState {}

        /** Server-sent events are being written. */
        record Streaming() implements AnswerState {}

        /** An answer is buffered until it is known to be complete. */
        record Buffering(int httpStatus, String mediaType, ByteArrayOutputStream bytes) implements AnswerState {}

        /** The last byte has been queued, or the caller has disconnected. */
        record Ended() implements AnswerState {}
    }

    private record PendingWrite(boolean last, byte[] bytes, Runnable onConsumed) {}

    private final RequestId id;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final Runnable onDisconnect;
    private final Runnable onEnd;
    private final Deque<PendingWrite> queue = new ArrayDeque<>();
    private AnswerState state = new AnswerState.NotStarted();
    private Optional<EndMarker> endMarker = Optional.empty();
    private boolean writing;
    private boolean submitted;
    private boolean disconnectedBeforeSubmission;
    private boolean closed;

    private HttpExchange(
            RequestId id,
            Request request,
            Response response,
            Callback callback,
            Runnable onDisconnect,
            Runnable onEnd) {
        this.id = id;
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.onDisconnect = onDisconnect;
        this.onEnd = onEnd;
        response.getHeaders().put("X-Request-Id", id.value());
    }

    /**
     * Returns an exchange without an answer.
     *
     * @param onDisconnect run once if the caller disconnects before the last byte of the answer is queued, but not
     *     before {@link #markSubmitted}
     * @param onEnd run once when nothing more will be written
     */
    static HttpExchange create(
            RequestId id,
            Request request,
            Response response,
            Callback callback,
            Runnable onDisconnect,
            Runnable onEnd) {
        return new HttpExchange(id, request, response, callback, onDisconnect, onEnd);
    }

    /** Starts watching for a disconnect of the caller. To be called once the body of the request has been read. */
    void watchCaller() {
        DisconnectWatch.start(request, this::onDisconnectDetected);
    }

    @Override
    public void begin(int httpStatus, String mediaType) {
        synchronized (this) {
            if (!(state instanceof AnswerState.NotStarted)) {
                return;
            }
            if (mediaType.startsWith(EVENT_STREAM)) {
                response.setStatus(httpStatus);
                response.getHeaders().put(HttpHeader.CONTENT_TYPE, EVENT_STREAM);
                response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
                endMarker = Optional.of(EndMarker.prepare(request, response));
                state = new AnswerState.Streaming();
            } else {
                state = new AnswerState.Buffering(httpStatus, mediaType, new ByteArrayOutputStream());
            }
        }
    }

    @Override
    public void write(byte[] bytes, Runnable onConsumed) {
        boolean consumed;
        synchronized (this) {
            consumed = switch (state) {
                case AnswerState.NotStarted notStarted -> true;
                case AnswerState.Ended ended -> true;
                case AnswerState.Buffering buffering -> {
                    buffering.bytes().writeBytes(bytes);
                    yield true;
                }
                case AnswerState.Streaming streaming -> {
                    queue.add(new PendingWrite(false, bytes, onConsumed));
                    yield false;
                }
            };
        }
        if (consumed) {
            onConsumed.run();
        } else {
            writeNext();
        }
    }

    /** Completes the answer: ends a stream with its end marker, or sends a buffered answer. */
    void finish() {
        synchronized (this) {
            switch (state) {
                case AnswerState.Streaming streaming -> endStream("data: [DONE]\n\n");
                case AnswerState.Buffering buffering ->
                    endWith(
                            buffering.httpStatus(),
                            Content.of(buffering.mediaType(), buffering.bytes().toByteArray()),
                            Map.of());
                // The answer was completed without having begun.
                case AnswerState.NotStarted notStarted -> endWith(Failure.of(ErrorKind.INTERNAL_ERROR));
                case AnswerState.Ended ended -> {}
            }
        }
        writeNext();
    }

    /** Answers with a complete body. No effect if the answer has started or ended. */
    void answer(int httpStatus, Content content) {
        answer(httpStatus, content, Map.of());
    }

    /** Answers with a complete body and further headers. No effect if the answer has started or ended. */
    void answer(int httpStatus, Content content, Map<String, String> headers) {
        synchronized (this) {
            if (!(state instanceof AnswerState.NotStarted)) {
                return;
            }
            endWith(httpStatus, content, headers);
        }
        writeNext();
    }

    /**
     * Answers with an error. A stream that has started ends with an error event instead of its end marker. No effect if
     * the answer has ended.
     */
    void fail(Failure failure) {
        synchronized (this) {
            switch (state) {
                case AnswerState.Streaming streaming ->
                    endStream("event: error\ndata: " + FailureBody.toJson(failure, id.value()) + "\n\n");
                case AnswerState.NotStarted notStarted -> endWith(failure);
                case AnswerState.Buffering buffering -> endWith(failure);
                case AnswerState.Ended ended -> {}
            }
        }
        writeNext();
    }

    /** Ends a stream with a last event. To be called with the lock held. */
    private void endStream(String lastEvent) {
        state = new AnswerState.Ended();
        queue.add(new PendingWrite(true, utf8(lastEvent), () -> {}));
    }

    /** Decides the answer. To be called with the lock held, before anything is written. */
    private void endWith(int httpStatus, Content content, Map<String, String> headers) {
        state = new AnswerState.Ended();
        response.setStatus(httpStatus);
        headers.forEach(response.getHeaders()::put);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, content.mediaType());
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length());
        queue.add(new PendingWrite(true, content.bytes(), () -> {}));
    }

    private void endWith(Failure failure) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Ran", FailureBody.executionStatus(failure));
        failure.retryAfter().ifPresent(delay -> headers.put("Retry-After", FailureBody.retryAfterSeconds(delay)));
        endWith(
                failure.kind().httpStatus(),
                Content.of("application/json", utf8(FailureBody.toJson(failure, id.value()))),
                headers);
    }

    /** Returns whether the whole answer has been decided, so that nothing can be added to it. */
    synchronized boolean isDecided() {
        return state instanceof AnswerState.Ended;
    }

    /** Returns whether the answer has been decided but not completely written. */
    synchronized boolean isFlushing() {
        return state instanceof AnswerState.Ended && !closed;
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void writeNext() {
        PendingWrite next;
        Optional<EndMarker> marker;
        synchronized (this) {
            if (writing || closed || queue.isEmpty()) {
                return;
            }
            next = queue.remove();
            writing = true;
            marker = endMarker;
        }
        if (next.last()) {
            DisconnectWatch.stop(request);
            marker.ifPresent(EndMarker::beforeLastWrite);
        }
        response.write(next.last(), ByteBuffer.wrap(next.bytes()), Callback.from(() -> onWritten(next), cause -> {
            next.onConsumed().run();
            abort(cause);
        }));
    }

    private void onWritten(PendingWrite write) {
        boolean alreadyClosed;
        synchronized (this) {
            writing = false;
            alreadyClosed = closed;
            closed |= write.last();
        }
        write.onConsumed().run();
        if (alreadyClosed) {
            return;
        }
        if (write.last()) {
            onEnd.run();
            callback.succeeded();
        } else {
            writeNext();
        }
    }

    /** Handles a disconnect that was detected while no write failed. */
    private void onDisconnectDetected() {
        abort(new EofException("the caller disconnected"));
    }

    /**
     * Marks the request as submitted to the control thread. A disconnect is reported from now on, and at once if it has
     * already happened.
     */
    void markSubmitted() {
        boolean report;
        synchronized (this) {
            submitted = true;
            report = disconnectedBeforeSubmission;
            disconnectedBeforeSubmission = false;
        }
        if (report) {
            onDisconnect.run();
        }
    }

    /**
     * Defers the report until the request is submitted, so that the control thread never sees it before the request.
     */
    private void reportDisconnect() {
        boolean report;
        synchronized (this) {
            report = submitted;
            disconnectedBeforeSubmission = !submitted;
        }
        if (report) {
            onDisconnect.run();
        }
    }

    /** Ends the exchange after a disconnect or a failed write; discards the writes that are queued. */
    private void abort(Throwable cause) {
        boolean undecided;
        Optional<EndMarker> marker;
        Deque<PendingWrite> discarded;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            undecided = !(state instanceof AnswerState.Ended);
            state = new AnswerState.Ended();
            marker = endMarker;
            discarded = new ArrayDeque<>(queue);
            queue.clear();
        }
        DisconnectWatch.stop(request);
        onEnd.run();
        if (undecided) {
            reportDisconnect();
        }
        discarded.forEach(write -> write.onConsumed().run());
        marker.ifPresent(EndMarker::breakOff);
        callback.failed(cause);
    }
}
