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
    private sealed interface Progress {
        /** Nothing is decided. */
        record Waiting() implements Progress {}

        /** Server-sent events are being written. */
        record Streaming() implements Progress {}

        /** A whole answer is gathered until it is known to be complete. */
        record Gathering(int httpStatus, String mediaType, ByteArrayOutputStream bytes) implements Progress {}

        /** The last byte is queued, or the caller left. */
        record Ended() implements Progress {}
    }

    private record Write(boolean last, byte[] bytes, Runnable taken) {}

    private final RequestId id;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final Runnable onLeft;
    private final Runnable onEnd;
    private final Deque<Write> queue = new ArrayDeque<>();
    private Progress progress = new Progress.Waiting();
    private boolean writing;
    private boolean handedOver;
    private boolean leftUnreported;
    private boolean completed;

    private HttpExchange(
            RequestId id, Request request, Response response, Callback callback, Runnable onLeft, Runnable onEnd) {
        this.id = id;
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.onLeft = onLeft;
        this.onEnd = onEnd;
        response.getHeaders().put("X-Request-Id", id.value());
    }

    /**
     * Returns an exchange without an answer.
     *
     * @param onLeft run once if the caller leaves before the answer's last byte is queued
     * @param onEnd run once when nothing more will be written
     */
    static HttpExchange create(
            RequestId id, Request request, Response response, Callback callback, Runnable onLeft, Runnable onEnd) {
        return new HttpExchange(id, request, response, callback, onLeft, onEnd);
    }

    /** Starts to watch whether the caller leaves. For a request whose body has been read. */
    void watchCaller() {
        CallerWatch.begin(request, this::left);
    }

    @Override
    public void begin(int httpStatus, String mediaType) {
        synchronized (this) {
            if (!(progress instanceof Progress.Waiting)) {
                return;
            }
            if (mediaType.startsWith(EVENT_STREAM)) {
                response.setStatus(httpStatus);
                response.getHeaders().put(HttpHeader.CONTENT_TYPE, EVENT_STREAM);
                response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
                progress = new Progress.Streaming();
            } else {
                progress = new Progress.Gathering(httpStatus, mediaType, new ByteArrayOutputStream());
            }
        }
    }

    @Override
    public void write(byte[] bytes, Runnable taken) {
        boolean dropped;
        synchronized (this) {
            dropped = switch (progress) {
                case Progress.Waiting waiting -> true;
                case Progress.Ended ended -> true;
                case Progress.Gathering gathering -> {
                    gathering.bytes().writeBytes(bytes);
                    yield true;
                }
                case Progress.Streaming streaming -> {
                    queue.add(new Write(false, bytes, taken));
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
        Progress.@Nullable Gathering gathered = takeGathered();
        if (gathered == null) {
            fail(Failure.of(ErrorKind.INTERNAL_ERROR));
        } else {
            answer(
                    gathered.httpStatus(),
                    Content.of(gathered.mediaType(), gathered.bytes().toByteArray()));
        }
    }

    /** Ends the answer with a last event if it is a stream. */
    private boolean endStream(String lastEvent) {
        synchronized (this) {
            if (!(progress instanceof Progress.Streaming)) {
                return false;
            }
            progress = new Progress.Ended();
            queue.add(new Write(true, utf8(lastEvent), () -> {}));
        }
        writeNext();
        return true;
    }

    private synchronized Progress.@Nullable Gathering takeGathered() {
        if (progress instanceof Progress.Gathering gathering) {
            progress = new Progress.Waiting();
            return gathering;
        }
        return null;
    }

    /** Answers with a whole body. */
    void answer(int httpStatus, Content content) {
        synchronized (this) {
            if (!(progress instanceof Progress.Waiting)) {
                return;
            }
            progress = new Progress.Ended();
            response.setStatus(httpStatus);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, content.mediaType());
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, content.length());
            queue.add(new Write(true, content.bytes(), () -> {}));
        }
        writeNext();
    }

    /** Adds a header to an answer that has not begun. */
    void header(String name, String value) {
        synchronized (this) {
            if (progress instanceof Progress.Waiting) {
                response.getHeaders().put(name, value);
            }
        }
    }

    /** Answers with an error. A stream that has begun ends with an error event and without its end marker. */
    void fail(Failure failure) {
        String json = FailureBody.json(failure, id.value());
        if (endStream("event: error\ndata: " + json + "\n\n")) {
            return;
        }
        takeGathered();
        header("X-Ran", FailureBody.ran(failure));
        failure.retryAfter().ifPresent(delay -> header("Retry-After", FailureBody.retryAfterSeconds(delay)));
        answer(failure.kind().httpStatus(), Content.of("application/json", utf8(json)));
    }

    /** Says whether nothing can be added to the answer any more. */
    synchronized boolean isDecided() {
        return progress instanceof Progress.Ended;
    }

    /** Says whether the answer is decided but not all of it is written. */
    synchronized boolean isFlushing() {
        return progress instanceof Progress.Ended && !completed;
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void writeNext() {
        Write next;
        synchronized (this) {
            if (writing || completed || queue.isEmpty()) {
                return;
            }
            next = queue.remove();
            writing = true;
        }
        if (next.last()) {
            CallerWatch.end(request);
        }
        response.write(next.last(), ByteBuffer.wrap(next.bytes()), Callback.from(() -> written(next), cause -> {
            next.taken().run();
            lost(cause);
        }));
    }

    private void written(Write write) {
        boolean lostMeanwhile;
        synchronized (this) {
            writing = false;
            lostMeanwhile = completed;
            completed |= write.last();
        }
        write.taken().run();
        if (lostMeanwhile) {
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
    private void left() {
        lost(new EofException("caller left"));
    }

    /** Reports a caller's leaving from now on, and at once if it left before. For a request that was handed over. */
    void reportCallerLeaving() {
        boolean leftBefore;
        synchronized (this) {
            handedOver = true;
            leftBefore = leftUnreported;
            leftUnreported = false;
        }
        if (leftBefore) {
            onLeft.run();
        }
    }

    /** Keeps the report back until the request is handed over, so that nobody hears of its end before its arrival. */
    private void leftEarly() {
        boolean report;
        synchronized (this) {
            report = handedOver;
            leftUnreported = !handedOver;
        }
        if (report) {
            onLeft.run();
        }
    }

    private void lost(Throwable cause) {
        boolean early;
        Deque<Write> dropped;
        synchronized (this) {
            if (completed) {
                return;
            }
            completed = true;
            early = !(progress instanceof Progress.Ended);
            progress = new Progress.Ended();
            dropped = new ArrayDeque<>(queue);
            queue.clear();
        }
        CallerWatch.end(request);
        onEnd.run();
        if (early) {
            leftEarly();
        }
        dropped.forEach(write -> write.taken().run());
        callback.failed(cause);
    }
}
