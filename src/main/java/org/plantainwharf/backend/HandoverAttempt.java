package org.plantainwharf.backend;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.http.EndToEndHeaders;
import org.plantainwharf.http.ForwardDialect;

/**
 * One attempt to hand a request over to another entry daemon, which gets it as its caller sent it, with the time that is
 * left, and serves it like one of its own callers. Its answer is passed on unchanged: an answer of a server bears that
 * server's seal. Invariants: {@code ForwardEnded} is posted exactly once; an answer whose end was not seen is not completed;
 * the attempt ends as refused only if the other daemon has promised that the request has not run.
 *
 * <p>Thread-safe: Jetty calls the listeners of one request sequentially; {@link #cancel} may be called on any thread.
 */
final class HandoverAttempt implements CancellableAttempt {
    private static final int MAXIMUM_FAILURE_BODY_BYTES = 64 << 10;

    private final HttpClient client;
    private final ForwardDialect dialect;
    private final Clock clock;
    private final ForwardEffect.HandOver order;
    private final ForwardExchange exchange;
    private final EventSink events;
    private final Consumer<CancellableAttempt> onEnd;
    private final ByteArrayOutputStream failureBody = new ByteArrayOutputStream();
    private final AtomicBoolean ended = new AtomicBoolean();
    private ResponseState responseState = new ResponseState.AwaitingHead();
    private volatile long passedBytes;
    private volatile boolean waitingForCaller;
    private volatile boolean sendingBegun;
    private volatile boolean cancelled;
    private volatile Optional<ForwardOutcome.Withheld.Reason> withheld = Optional.empty();
    private volatile @Nullable Request request;

    /** State of the response, determined by its head. */
    private sealed interface ResponseState {
        /** The head has not arrived yet. */
        record AwaitingHead() implements ResponseState {}

        /** A server's answer is being passed on. */
        record Passing() implements ResponseState {}

        /** An answer of the other daemon, or a server's failure, is being buffered. */
        record Buffering(int httpStatus, HttpFields headers) implements ResponseState {}

        /** The response cannot be passed on. */
        record Invalid(String reason) implements ResponseState {}
    }

    private HandoverAttempt(
            HttpClient client,
            ForwardDialect dialect,
            Clock clock,
            ForwardEffect.HandOver order,
            ForwardExchange exchange,
            EventSink events,
            Consumer<CancellableAttempt> onEnd) {
        this.client = client;
        this.dialect = dialect;
        this.clock = clock;
        this.order = order;
        this.exchange = exchange;
        this.events = events;
        this.onEnd = onEnd;
    }

    /** Returns an attempt that has not been sent. {@code onEnd} is run once, before {@code ForwardEnded} is posted. */
    static HandoverAttempt create(
            HttpClient client,
            ForwardDialect dialect,
            Clock clock,
            ForwardEffect.HandOver order,
            ForwardExchange exchange,
            EventSink events,
            Consumer<CancellableAttempt> onEnd) {
        return new HandoverAttempt(client, dialect, clock, order, exchange, events, onEnd);
    }

    @Override
    public long ticket() {
        return order.ticket();
    }

    @Override
    public void send() {
        try {
            sendRequest();
        } catch (RuntimeException e) {
            String reason = e.getClass().getSimpleName();
            finish(
                    sendingBegun
                            ? new ForwardOutcome.Broken(false, true, reason)
                            : new ForwardOutcome.NotSent(false, reason));
        }
    }

    private void sendRequest() {
        Request prepared = ServerRequests.create(client, order.address(), exchange.pathQuery())
                .method(exchange.method())
                .idleTimeout(0, TimeUnit.MILLISECONDS)
                .headers(this::setHeaders);
        if (exchange.body().length > 0) {
            prepared.body(new BytesRequestContent((String) null, exchange.body()));
        }
        request = prepared;
        prepared.onRequestBegin(this::onSendingBegins)
                .onResponseHeaders(this::onHeaders)
                .onResponseContentAsync(this::onContent)
                .send(this::onComplete);
        if (cancelled) {
            cancel();
        }
    }

    private void setHeaders(HttpFields.Mutable headers) {
        headers.clear();
        exchange.headers().stream()
                .filter(field -> !field.is(dialect.deadline()))
                .forEach(headers::add);
        exchange.authorization().ifPresent(value -> headers.put(HttpHeader.AUTHORIZATION, value));
        exchange.lastEventId().ifPresent(id -> headers.put("Last-Event-Id", id));
        headers.put(dialect.handedOver(), "1");
    }

    /** Withholds a request that nobody waits for any more, as {@link ForwardAttempt} does. */
    @SuppressWarnings("FutureReturnValueIgnored")
    private void onSendingBegins(Request begun) {
        long remainingMillis = order.remainingMillis(clock.nowNanos());
        if (!exchange.isOpen()) {
            withheld = Optional.of(ForwardOutcome.Withheld.Reason.CALLER_LEFT);
        } else if (remainingMillis <= 0) {
            withheld = Optional.of(ForwardOutcome.Withheld.Reason.DEADLINE_PASSED);
        }
        if (withheld.isPresent()) {
            begun.abort(new IOException("withheld"));
            return;
        }
        begun.headers(headers -> headers.put(dialect.deadline(), String.valueOf(remainingMillis)));
        sendingBegun = true;
    }

    /** Cancels the attempt by closing its connection, so that the other daemon stops the server's work. */
    @Override
    @SuppressWarnings("FutureReturnValueIgnored")
    public void cancel() {
        cancelled = true;
        Request sent = request;
        if (sent != null) {
            sent.abort(new IOException("cancelled"));
        }
    }

    private void onHeaders(Response response) {
        HttpFields headers = response.getHeaders();
        String id = headers.get(dialect.requestId());
        boolean success = HttpStatus.isSuccess(response.getStatus());
        if (id != null && !id.equals(exchange.requestId())) {
            invalidate(response, "response belongs to another request");
        } else if (success && (id == null || !headers.contains(dialect.seal()))) {
            invalidate(response, "success without the seal of a server");
        } else if (success) {
            responseState = new ResponseState.Passing();
            exchange.begin(response.getStatus(), EndToEndHeaders.of(headers));
            events.post(new ForwardEvent.ForwardBegan(order.ticket(), order.attempt(), Optional.empty()));
        } else {
            responseState = new ResponseState.Buffering(response.getStatus(), HttpFields.build(headers));
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored")
    private void invalidate(Response response, String reason) {
        responseState = new ResponseState.Invalid(reason);
        response.abort(new IOException(reason));
    }

    @SuppressWarnings("FutureReturnValueIgnored")
    private void onContent(Response response, Content.Chunk chunk, Runnable demander) {
        ByteBuffer buffer = chunk.getByteBuffer();
        switch (responseState) {
            case ResponseState.Passing passing -> pass(response, BufferUtil.toArray(buffer), demander);
            case ResponseState.Buffering buffering -> {
                failureBody.writeBytes(BufferUtil.toArray(buffer));
                if (failureBody.size() > MAXIMUM_FAILURE_BODY_BYTES) {
                    invalidate(response, "body of the failure exceeds " + MAXIMUM_FAILURE_BODY_BYTES + " bytes");
                } else {
                    demander.run();
                }
            }
            case ResponseState.AwaitingHead awaitingHead -> {}
            case ResponseState.Invalid invalid -> {}
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored")
    private void pass(Response response, byte[] bytes, Runnable demander) {
        if (bytes.length == 0) {
            demander.run();
            return;
        }
        waitingForCaller = true;
        exchange.write(
                ByteBuffer.wrap(bytes),
                Callback.from(
                        () -> {
                            waitingForCaller = false;
                            passedBytes += bytes.length;
                            demander.run();
                        },
                        cause -> response.abort(new IOException("caller disconnected"))));
    }

    private void onComplete(Result result) {
        finish(outcome(result));
    }

    private ForwardOutcome outcome(Result result) {
        if (withheld.isPresent()) {
            return new ForwardOutcome.Withheld(withheld.get());
        }
        if (cancelled) {
            return new ForwardOutcome.Cancelled(passedBytes, waitingForCaller);
        }
        boolean incomplete = result.getResponseFailure() != null;
        return switch (responseState) {
            case ResponseState.AwaitingHead awaitingHead -> outcomeWithoutHead(result);
            case ResponseState.Invalid invalid -> new ForwardOutcome.Broken(false, false, invalid.reason());
            case ResponseState.Passing passing ->
                incomplete || !isFramed(result.getResponse().getHeaders())
                        ? new ForwardOutcome.Broken(true, true, "answer of the other entry daemon ended early")
                        : new ForwardOutcome.Completed(false);
            case ResponseState.Buffering buffering -> {
                if (incomplete) {
                    yield new ForwardOutcome.Broken(false, true, "failure of the other entry daemon ended early");
                }
                exchange.recordFailureResponse(
                        buffering.httpStatus(), EndToEndHeaders.of(buffering.headers()), failureBody.toByteArray());
                yield isPromise(buffering)
                        ? new ForwardOutcome.Refused(buffering.httpStatus(), OptionalLong.empty())
                        : new ForwardOutcome.Failed(buffering.httpStatus());
            }
        };
    }

    /** Returns whether the end of the answer does not look like that of a connection that was lost. */
    private static boolean isFramed(HttpFields headers) {
        return headers.contains(HttpHeader.CONTENT_LENGTH) || headers.contains(HttpHeader.TRANSFER_ENCODING);
    }

    /** Returns whether the other daemon has promised that the request has not run. A server's failure bears its seal. */
    private boolean isPromise(ResponseState.Buffering response) {
        return !response.headers().contains(dialect.seal())
                && switch (response.httpStatus()) {
                    case HttpStatus.REQUEST_TIMEOUT_408,
                            HttpStatus.MISDIRECTED_REQUEST_421,
                            HttpStatus.TOO_MANY_REQUESTS_429,
                            HttpStatus.SERVICE_UNAVAILABLE_503 -> true;
                    default -> false;
                };
    }

    private ForwardOutcome outcomeWithoutHead(Result result) {
        Throwable cause = result.getFailure();
        String reason = cause == null
                ? "response ended before its head"
                : cause.getClass().getSimpleName();
        return sendingBegun
                ? new ForwardOutcome.Broken(false, true, reason)
                : new ForwardOutcome.NotSent(cause instanceof ConnectException, reason);
    }

    private void finish(ForwardOutcome outcome) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        if (outcome instanceof ForwardOutcome.Completed) {
            exchange.complete();
        }
        onEnd.accept(this);
        events.post(new ForwardEvent.ForwardEnded(order.ticket(), order.attempt(), outcome, Optional.empty()));
    }
}
