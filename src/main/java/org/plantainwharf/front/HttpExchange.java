package org.plantainwharf.front;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.backend.AnswerSink;
import org.plantainwharf.call.Content;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.RequestId;

/**
 * One request and the answer on its way to its caller. Invariants: one answer is written, and nothing after it; a whole
 * answer is sent with its length; a stream ends with {@code [DONE]} only when it is complete.
 *
 * <p>Thread-safe: the state is guarded by this object's lock. Jetty allows one write at a time, so later ones queue here;
 * the queue is short because a writer waits until its bytes were taken.
 */
final class HttpExchange implements AnswerSink {
    private static final String EVENT_STREAM = "text/event-stream";

    /** How far the answer is. */
    private sealed interface AnswerState {
        /** Nothing is decided. */
        record NotStarted() implements AnswerState {}

        /** Server-sent events are being written. */
        record Streaming() implements AnswerState {}

        /** A whole answer is gathered until it is known to be complete. */
        record Buffering(int httpStatus, String mediaType, ByteArrayOutputStream bytes) implements AnswerState {}

        /** The last byte is queued, or the caller left. */
        record Ended() implements AnswerState {}
    }

    private record PendingWrite(boolean last, byte[] bytes, Runnable taken) {}

    private final RequestId id;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final Runnable onCallerLeft;
    private final Runnable onEnd;
    private final Deque<PendingWrite> queue = new ArrayDeque<>();
    private AnswerState state = new AnswerState.NotStarted();
    private boolean writing;
    private boolean submitted;
    private boolean leftBeforeSubmission;
    private boolean closed;

    private HttpExchange(
            RequestId id,
            Request request,
            Response response,
            Callback callback,
            Runnable onCallerLeft,
            Runnable onEnd) {
        this.id = id;
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.onCallerLeft = onCallerLeft;
        this.onEnd = onEnd;
        response.getHeaders().put("X-Request-Id", id.value());
    }

    /**
     * Returns an exchange without an answer.
     *
     * @param onCallerLeft run once if the caller leaves before the answer's last byte is queued
     * @param onEnd run once when nothing more will be written
     */
    static HttpExchange create(
            RequestId id,
            Request request,
            Response response,
            Callback callback,
            Runnable onCallerLeft,
            Runnable onEnd) {
        return new HttpExchange(id, request, response, callback, onCallerLeft, onEnd);
    }

    /** Starts to watch whether the caller leaves. For a request whose body has been read. */
    void watchCaller() {
        DisconnectWatch.start(request, this::callerLeft);
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
                state = new AnswerState.Streaming();
            } else {
                state = new AnswerState.Buffering(httpStatus, mediaType, new ByteArrayOutputStream());
            }
        }
    }

    @Override
    public void write(byte[] bytes, Runnable taken) {
        boolean dropped;
        synchronized (this) {
            dropped = switch (state) {
                case AnswerState.NotStarted waiting -> true;
                case AnswerState.Ended ended -> true;
                case AnswerState.Buffering gathering -> {
                    gathering.bytes().writeBytes(bytes);
                    yield true;
                }
                case AnswerState.Streaming streaming -> {
                    queue.add(new PendingWrite(false, bytes, taken));
                    yield false;
                }
            };
        }
        if (dropped) {
            taken.run();
        } else {
            writeNext();
        }
    }

    /** Ends a streamed answer in order; a gathered one is sent whole. */
    void finish() {
        if (endStream("data: [DONE]\n\n")) {
            return;
        }
        AnswerState.@Nullable Buffering buffered = takeBuffered();
        if (buffered == null) {
            fail(Failure.of(ErrorKind.INTERNAL_ERROR));
        } else {
            answer(
                    buffered.httpStatus(),
                    Content.of(buffered.mediaType(), buffered.bytes().toByteArray()));
        }
    }

    /** Ends the answer with a last event if it is a stream. */
    private boolean endStream(String lastEvent) {
        synchronized (this) {
            if (!(state instanceof AnswerState.Streaming)) {
                return false;
            }
            state = new AnswerState.Ended();
            queue.add(new PendingWrite(true, utf8(lastEvent), () -> {}));
        }
        writeNext();
        return true;
    }

    private synchronized AnswerState.@Nullable Buffering takeBuffered() {
        if (state instanceof AnswerState.Buffering gathering) {
            state = new AnswerState.NotStarted();
            return gathering;
        }
        return null;
    }

    /** Answers with a whole body. */
    void answer(int httpStatus, Content content) {
        synchronized (this) {
            if (!(state instanceof AnswerState.NotStarted)) {
                return;
            }
            state = new AnswerState.Ended();
            response.setStatus(httpStatus);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, content.mediaType());
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length());
            queue.add(new PendingWrite(true, content.bytes(), () -> {}));
        }
        writeNext();
    }

    /** Adds a header to an answer that has not begun. */
    void setHeader(String name, String value) {
        synchronized (this) {
            if (state instanceof AnswerState.NotStarted) {
                response.getHeaders().put(name, value);
            }
        }
    }

    /** Answers with an error. A stream that has begun ends with an error event and without its end marker. */
    void fail(Failure failure) {
        String json = FailureBody.toJson(failure, id.value());
        if (endStream("event: error\ndata: " + json + "\n\n")) {
            return;
        }
        takeBuffered();
        setHeader("X-Ran", FailureBody.executionStatus(failure));
        failure.retryAfter().ifPresent(delay -> setHeader("Retry-After", FailureBody.retryAfterSeconds(delay)));
        answer(failure.kind().httpStatus(), Content.of("application/json", utf8(json)));
    }

    /** Says whether nothing can be added to the answer any more. */
    synchronized boolean isDecided() {
        return state instanceof AnswerState.Ended;
    }

    /** Says whether the answer is decided but not all of it is written. */
    synchronized boolean isFlushing() {
        return state instanceof AnswerState.Ended && !closed;
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void writeNext() {
        PendingWrite next;
        synchronized (this) {
            if (writing || closed || queue.isEmpty()) {
                return;
            }
            next = queue.remove();
            writing = true;
        }
        if (next.last()) {
            DisconnectWatch.stop(request);
        }
        response.write(next.last(), ByteBuffer.wrap(next.bytes()), Callback.from(() -> onWritten(next), cause -> {
            next.taken().run();
            callerLost(cause);
        }));
    }

    private void onWritten(PendingWrite write) {
        boolean callerLost;
        synchronized (this) {
            writing = false;
            callerLost = closed;
            closed |= write.last();
        }
        write.taken().run();
        if (callerLost) {
            return;
        }
        if (write.last()) {
            onEnd.run();
            callback.succeeded();
        } else {
            writeNext();
        }
    }

    /** The caller left while nothing was being written. */
    private void callerLeft() {
        callerLost(new EofException("caller left"));
    }

    /** Reports a caller's leaving from now on, and at once if it left before. For a request that was handed over. */
    void markSubmitted() {
        boolean report;
        synchronized (this) {
            submitted = true;
            report = leftBeforeSubmission;
            leftBeforeSubmission = false;
        }
        if (report) {
            onCallerLeft.run();
        }
    }

    /** Keeps the report back until the request is handed over, so that nobody hears of its end before its arrival. */
    private void reportCallerLeft() {
        boolean report;
        synchronized (this) {
            report = submitted;
            leftBeforeSubmission = !submitted;
        }
        if (report) {
            onCallerLeft.run();
        }
    }

    private void callerLost(Throwable cause) {
        boolean undecided;
        Deque<PendingWrite> dropped;
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
            undecided = !(state instanceof AnswerState.Ended);
            state = new AnswerState.Ended();
            dropped = new ArrayDeque<>(queue);
            queue.clear();
        }
        DisconnectWatch.stop(request);
        onEnd.run();
        if (undecided) {
            reportCallerLeft();
        }
        dropped.forEach(write -> write.taken().run());
        callback.failed(cause);
    }
}
