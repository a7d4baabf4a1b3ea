package org.plantainwharf.front;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.IntConsumer;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.SerializedInvoker;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.backend.ForwardExchange;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;

/**
 * HTTP side of a forwarded request: the exchange with the caller. Its state on the control thread is a {@link
 * org.plantainwharf.forward.ForwardCall}; the ticket, a number unique within the daemon, joins the two.
 *
 * <p>Whatever begins, continues or ends the answer is an operation, and operations run one at a time in the order in
 * which they were requested. An operation that meets another one is left to the thread that runs that one, so that no
 * thread waits. Invariants: status, headers and body of an answer have one source, a server or this system; the head of
 * a server's answer is set together with its first byte or its end, and until then any failure can still be reported;
 * nothing is written after the answer has ended; an answer that cannot be completed lacks its {@link EndMarker}, so that
 * the caller cannot mistake it for a complete one.
 *
 * <p>Thread-safe.
 */
final class ForwardedCall implements ForwardExchange {
    private final String requestId;
    private final Request request;
    private final Response response;
    private final Callback callback;
    private final String method;
    private final String pathQuery;
    private final List<HttpField> headers;
    private final @Nullable String authorization;
    private final byte[] body;
    private final boolean closeConnection;
    private final Callbacks callbacks;
    private final SerializedInvoker operations = new SerializedInvoker(ForwardedCall.class);
    private volatile @Nullable HeldFailure heldFailure;
    private volatile @Nullable String lastEventId;
    /** Written by operations only. */
    private volatile Answer answer = new Answer.NotBegun();
    /** Used by operations only. */
    private boolean submitted;
    /** Used by operations only. */
    private boolean disconnectedBeforeSubmission;

    /** What has become of the answer. */
    private sealed interface Answer {
        /** There is nothing to send yet. */
        record NotBegun() implements Answer {}

        /** The head of a server's answer is known, and nothing of it has been written. */
        record HeadKnown(int httpStatus, List<HttpField> headers) implements Answer {}

        /** The head of a server's answer has been written, perhaps with a part of the body. */
        record Writing(EndMarker marker) implements Answer {}

        /** The answer is complete or broken off, or its caller has disconnected. */
        record Ended() implements Answer {}
    }

    /**
     * Callbacks for the life cycle of an answer. Immutable.
     *
     * @param onBegin run once when the head of a server's answer arrives
     * @param onHeadDiscarded receives the HTTP status that is sent instead of a server's answer of which the caller has got
     *     nothing
     * @param onEnd run once when the answer has ended or the caller has disconnected
     * @param onBrokenOff receives, before {@code onEnd}, the mark that the caller misses and the reason, if an answer that
     *     has started is not completed although the caller is there
     * @param onDisconnect run once if the caller disconnects before the answer has ended, but not before the request
     *     was submitted to the control thread
     */
    record Callbacks(
            Runnable onBegin,
            IntConsumer onHeadDiscarded,
            Runnable onEnd,
            BiConsumer<EndMarker, String> onBrokenOff,
            Runnable onDisconnect) {
        /** Returns callbacks that do nothing. */
        static Callbacks none() {
            return new Callbacks(() -> {}, status -> {}, () -> {}, (marker, reason) -> {}, () -> {});
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
        this.authorization = request.getHeaders().get(HttpHeader.AUTHORIZATION);
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
    public Optional<String> authorization() {
        return Optional.ofNullable(authorization);
    }

    @Override
    public byte[] body() {
        return body;
    }

    @Override
    public boolean isOpen() {
        return !(answer instanceof Answer.Ended);
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
        operations.run(() -> {
            submitted = true;
            if (disconnectedBeforeSubmission) {
                callbacks.onDisconnect().run();
            }
        });
    }

    @Override
    public void begin(int httpStatus, List<HttpField> answerHeaders) {
        List<HttpField> fields = List.copyOf(answerHeaders);
        operations.run(() -> {
            switch (answer) {
                case Answer.NotBegun notBegun -> {
                    answer = new Answer.HeadKnown(httpStatus, fields);
                    callbacks.onBegin().run();
                }
                // The attempt that sent it has failed, and the caller has got nothing of it.
                case Answer.HeadKnown former -> answer = new Answer.HeadKnown(httpStatus, fields);
                case Answer.Writing writing -> {}
                case Answer.Ended ended -> {}
            }
        });
    }

    /** Sets the head of a server's answer. It is written with the next bytes, or at the end of an empty answer. */
    private EndMarker startWriting(Answer.HeadKnown head) {
        setHead(head.httpStatus(), head.headers());
        EndMarker marker = EndMarker.prepare(request, response);
        answer = new Answer.Writing(marker);
        return marker;
    }

    private void setHead(int httpStatus, List<HttpField> answerHeaders) {
        response.setStatus(httpStatus);
        response.getHeaders().clear();
        answerHeaders.forEach(response.getHeaders()::add);
        if (closeConnection) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
        }
    }

    @Override
    public void write(ByteBuffer bytes, Callback written) {
        operations.run(() -> {
            switch (answer) {
                case Answer.NotBegun notBegun ->
                    written.failed(new IllegalStateException("the head of the answer is not known"));
                case Answer.HeadKnown head -> writeFirstPart(head, bytes, written);
                case Answer.Writing writing -> writePart(bytes, written);
                case Answer.Ended ended -> written.failed(new EofException("the answer has ended"));
            }
        });
    }

    private void writeFirstPart(Answer.HeadKnown head, ByteBuffer bytes, Callback written) {
        try {
            startWriting(head);
        } catch (RuntimeException e) {
            // Nothing has been written, so that the attempt fails and its request can still be refused.
            written.failed(e);
            return;
        }
        writePart(bytes, written);
    }

    private void writePart(ByteBuffer bytes, Callback written) {
        response.write(false, bytes, Callback.from(written::succeeded, cause -> {
            callerLost(cause);
            written.failed(cause);
        }));
    }

    @Override
    public void complete() {
        operations.run(() -> {
            switch (answer) {
                case Answer.NotBegun notBegun -> answerWithFailure(Failure.of(ErrorKind.INTERNAL_ERROR));
                case Answer.HeadKnown head -> completeWith(startWriting(head));
                case Answer.Writing writing -> completeWith(writing.marker());
                case Answer.Ended ended -> {}
            }
        });
    }

    private void completeWith(EndMarker marker) {
        end();
        marker.beforeLastWrite();
        callback.succeeded();
    }

    @Override
    public void recordFailureResponse(int httpStatus, List<HttpField> answerHeaders, byte[] answerBody) {
        heldFailure = new HeldFailure(httpStatus, List.copyOf(answerHeaders), answerBody);
    }

    /** Sends the server's error response that was held back. An answer that is being written is broken off instead. */
    void sendHeldFailure() {
        operations.run(() -> {
            HeldFailure held = heldFailure;
            if (held != null && isUnwritten()) {
                answerWhole(held.httpStatus(), held.headers(), held.body());
            } else {
                refuseOrBreakOff(
                        Failure.of(ErrorKind.SERVER_FAILED, "the attempt failed after the answer had started"));
            }
        });
    }

    /** Answers with an error of this system. An answer that is being written is broken off instead. */
    void refuse(Failure failure) {
        operations.run(() -> refuseOrBreakOff(failure));
    }

    private boolean isUnwritten() {
        return switch (answer) {
            case Answer.NotBegun notBegun -> true;
            case Answer.HeadKnown head -> true;
            case Answer.Writing writing -> false;
            case Answer.Ended ended -> false;
        };
    }

    private void refuseOrBreakOff(Failure failure) {
        switch (answer) {
            case Answer.NotBegun notBegun -> answerWithFailure(failure);
            case Answer.HeadKnown head -> answerWithFailure(failure);
            case Answer.Writing writing -> breakOff(writing.marker(), failure.message());
            case Answer.Ended ended -> {}
        }
    }

    private void answerWithFailure(Failure failure) {
        byte[] text = FailureBody.toJson(failure, requestId).getBytes(StandardCharsets.UTF_8);
        List<HttpField> fields = new ArrayList<>();
        fields.add(new HttpField(HttpHeader.CONTENT_TYPE, "application/json"));
        fields.add(new HttpField(HttpHeader.CONTENT_LENGTH, String.valueOf(text.length)));
        failure.retryAfter()
                .ifPresent(delay -> fields.add(new HttpField(
                        HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", delay.toMillis() / 1_000.0))));
        answerWhole(failure.kind().httpStatus(), fields, text);
    }

    private void answerWhole(int httpStatus, List<HttpField> answerHeaders, byte[] answerBody) {
        if (answer instanceof Answer.HeadKnown) {
            callbacks.onHeadDiscarded().accept(httpStatus);
        }
        setHead(httpStatus, answerHeaders);
        end();
        response.write(true, ByteBuffer.wrap(answerBody), callback);
    }

    /** Closes the connection without completing the answer. */
    private void breakOff(EndMarker marker, String reason) {
        answer = new Answer.Ended();
        DisconnectWatch.stop(request);
        callbacks.onBrokenOff().accept(marker, reason);
        callbacks.onEnd().run();
        marker.breakOff();
        callback.failed(new EofException(reason));
    }

    private void end() {
        answer = new Answer.Ended();
        DisconnectWatch.stop(request);
        callbacks.onEnd().run();
    }

    private void callerLost(Throwable cause) {
        operations.run(() -> {
            if (answer instanceof Answer.Ended) {
                return;
            }
            end();
            if (submitted) {
                callbacks.onDisconnect().run();
            } else {
                disconnectedBeforeSubmission = true;
            }
            callback.failed(cause);
        });
    }

    @Override
    public Optional<String> lastEventId() {
        return Optional.ofNullable(lastEventId);
    }

    @Override
    public void setLastEventId(String id) {
        lastEventId = id;
    }
}
