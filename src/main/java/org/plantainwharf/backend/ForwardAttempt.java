package org.plantainwharf.backend;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
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
import org.plantainwharf.forward.RequestedPause;
import org.plantainwharf.forward.ServerNotice;
import org.plantainwharf.forward.ServerStatus;
import org.plantainwharf.http.EndToEndHeaders;
import org.plantainwharf.http.ForwardDialect;

/**
 * One attempt to forward a request to a server. Invariants: no part of a response is written to the caller before its
 * request id and seal have been checked; {@code StreamBegan} is posted before the first event of a resumable stream is
 * written to the caller; {@code ForwardEnded} is posted exactly once.
 *
 * <p>Thread-safe: Jetty calls the listeners of one request sequentially; {@link #cancel} may be called on any thread.
 */
final class ForwardAttempt implements CancellableAttempt {
    /** Error bodies are buffered up to this size; servers send only a short text. */
    private static final int MAXIMUM_FAILURE_BODY_BYTES = 64 << 10;

    /** Events of streams have some hundred bytes. Larger ones would fill the memory before they could be passed on. */
    private static final int MAXIMUM_EVENT_BYTES = 1 << 20;

    private static final String LEAVING = "1";
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int LAST_STATUS = 599;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final HttpClient client;
    private final ForwardDialect dialect;
    private final Clock clock;
    private final ForwardEffect.StartForward start;
    private final ForwardExchange exchange;
    private final EventSink events;
    private final Consumer<CancellableAttempt> onEnd;
    private final EventBoundaryBuffer eventBuffer = EventBoundaryBuffer.create();
    private final ByteArrayOutputStream failureBody = new ByteArrayOutputStream();
    private ResponseState responseState = new ResponseState.AwaitingHeaders();
    private boolean eventStream;
    private boolean endedByClose;
    private volatile boolean unproven;
    private long declaredBytes = -1;
    private long receivedBytes;
    private boolean streamBegan;
    private Optional<ServerStatus> status = Optional.empty();
    private int skippedBytes;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile Optional<ResetAwareEndPoint> endPoint = Optional.empty();
    private volatile boolean sendingBegun;
    private volatile boolean requestWritten;
    private volatile Optional<ForwardOutcome.Withheld.Reason> withheld = Optional.empty();
    private volatile boolean aborted;
    private volatile boolean cancelled;
    private volatile boolean waitingForCaller;
    private volatile long forwardedBytes;
    private volatile @Nullable Request request;

    /** State of the response, determined by its status and headers. */
    private sealed interface ResponseState {
        /** The headers have not arrived yet. */
        record AwaitingHeaders() implements ResponseState {}

        /** The server's success response is being forwarded to the caller. */
        record Forwarding() implements ResponseState {}

        /**
         * The server refused the request without running it.
         *
         * @param retryAfterMillis delay that the server asks for; empty if it sent none in seconds
         */
        record Refusal(int httpStatus, OptionalLong retryAfterMillis) implements ResponseState {}

        /** The server's error response is being buffered. */
        record Failure(int httpStatus, List<HttpField> headers) implements ResponseState {}

        /** The response belongs to another request, was not produced by the server itself or has an encoded body. */
        record Invalid(String reason) implements ResponseState {}
    }

    private ForwardAttempt(
            HttpClient client,
            ForwardDialect dialect,
            Clock clock,
            ForwardEffect.StartForward start,
            ForwardExchange exchange,
            EventSink events,
            Consumer<CancellableAttempt> onEnd) {
        this.client = client;
        this.dialect = dialect;
        this.clock = clock;
        this.start = start;
        this.exchange = exchange;
        this.events = events;
        this.onEnd = onEnd;
    }

    /** Returns an attempt that has not been sent. {@code onEnd} is run once, before {@code ForwardEnded} is posted. */
    static ForwardAttempt create(
            HttpClient client,
            ForwardDialect dialect,
            Clock clock,
            ForwardEffect.StartForward start,
            ForwardExchange exchange,
            EventSink events,
            Consumer<CancellableAttempt> onEnd) {
        return new ForwardAttempt(client, dialect, clock, start, exchange, events, onEnd);
    }

    @Override
    public long ticket() {
        return start.ticket();
    }

    /** Sends the request. An attempt that cannot be prepared ends like one whose connection was not opened. */
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
        Request prepared = ServerRequests.create(client, start.address(), exchange.pathQuery())
                .method(exchange.method())
                // No idle timeout: a response may pause, and the control thread cancels the attempt at its deadline.
                .idleTimeout(0, java.util.concurrent.TimeUnit.MILLISECONDS)
                .headers(this::setHeaders);
        if (exchange.body().length > 0) {
            prepared.body(new BytesRequestContent((String) null, exchange.body()));
        }
        request = prepared;
        prepared.onRequestBegin(this::onSendingBegins)
                .onRequestSuccess(written -> onRequestWritten())
                .onResponseHeaders(this::onHeaders)
                .onResponseContentAsync(this::onContent)
                .onResponseSuccess(this::onResponseEnded)
                .send(this::onComplete);
        if (cancelled) {
            cancel();
        }
    }

    /**
     * Withholds a request that nobody waits for any more: this daemon may have been paused, or the connection may have
     * taken long to open. Called when a connection is there, before the first byte.
     */
    @SuppressWarnings("FutureReturnValueIgnored")
    private void onSendingBegins(Request begun) {
        long remainingMillis = start.remainingMillis(clock.nowNanos());
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
        endPoint = ResetAwareEndPoint.of(begun);
        endPoint.ifPresent(ResetAwareEndPoint::beginResponse);
    }

    private void onRequestWritten() {
        requestWritten = true;
        checkEndOfConnection();
    }

    /**
     * Lets the end of the connection fail if the server has closed it without reading the request. The request is written
     * once the operating system has it, so that a failure to write it does not show that.
     */
    private void checkEndOfConnection() {
        if (requestWritten && unproven && exchange.body().length > 0) {
            endPoint.ifPresent(ResetAwareEndPoint::checkEnd);
        }
    }

    private void setHeaders(HttpFields.Mutable headers) {
        headers.clear();
        exchange.headers().stream()
                .filter(field -> !field.is(dialect.deadline()))
                .forEach(headers::add);
        headers.put(dialect.expectedServer(), start.server().value());
        start.account().ifPresent(account -> headers.put(dialect.account(), account.value()));
        if (headers.contains(dialect.model())) {
            headers.put(dialect.priority(), String.valueOf(start.priority()));
        }
        exchange.lastEventId().ifPresent(id -> headers.put("Last-Event-Id", id));
    }

    /** Cancels the attempt and closes its connection, so that the server stops working on the request. */
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
        endPoint.ifPresent(ResetAwareEndPoint::recordProgress);
        HttpFields headers = response.getHeaders();
        eventStream = isEventStream(headers);
        endedByClose = !headers.contains(HttpHeader.CONTENT_LENGTH) && !headers.contains(HttpHeader.TRANSFER_ENCODING);
        declaredBytes = headers.getLongField(HttpHeader.CONTENT_LENGTH);
        unproven = endedByClose
                && response.getStatus() != HttpStatus.NO_CONTENT_204
                && !HttpMethod.HEAD.is(exchange.method());
        checkEndOfConnection();
        responseState = classify(response.getStatus(), headers);
        if (!(responseState instanceof ResponseState.Invalid)) {
            status = Optional.of(new ServerStatus(
                    LoadHeader.parse(headers.get(dialect.load())), parseLimit(headers.get(dialect.requestLimit()))));
            // At once: the answer itself may take long, and no other request may be sent there meanwhile.
            ServerNotice notice = notice(response.getStatus(), headers);
            if (notice.isPresent()) {
                events.post(new ForwardEvent.ServerNoticed(
                        start.ticket(), start.server(), start.startEpochMillis(), notice));
            }
        }
        switch (responseState) {
            case ResponseState.Forwarding forwarding -> {
                exchange.begin(response.getStatus(), EndToEndHeaders.of(headers));
                events.post(new ForwardEvent.ForwardBegan(start.ticket(), start.attempt(), status));
            }
            case ResponseState.Invalid invalid -> abort(response, invalid.reason());
            case ResponseState.AwaitingHeaders awaitingHeaders -> {}
            case ResponseState.Refusal refusal -> {}
            case ResponseState.Failure failure -> {}
        }
    }

    private ResponseState classify(int status, HttpFields headers) {
        if (status < FIRST_SUCCESS || status > LAST_STATUS) {
            return new ResponseState.Invalid("response has the status " + status);
        }
        String id = headers.get(dialect.requestId());
        if (id != null && !id.equals(exchange.requestId())) {
            return new ResponseState.Invalid("response belongs to another request");
        }
        if (headers.contains(dialect.notRun()) || status == 421) {
            // Without an id it may be the second copy of an answer to an earlier request, while this one runs.
            return id == null && endPoint.map(ResetAwareEndPoint::isReused).orElse(true)
                    ? new ResponseState.Invalid("refusal without a request id on a reused connection")
                    : new ResponseState.Refusal(status, retryAfterMillis(headers));
        }
        if (id == null) {
            return new ResponseState.Invalid("response has no request id");
        }
        if (headers.contains(HttpHeader.CONTENT_ENCODING)) {
            return new ResponseState.Invalid("response has a content encoding");
        }
        if (status >= FIRST_REDIRECT) {
            return new ResponseState.Failure(status, EndToEndHeaders.of(headers));
        }
        return headers.contains(dialect.seal())
                ? new ResponseState.Forwarding()
                : new ResponseState.Invalid("response has no seal");
    }

    private static boolean isEventStream(HttpFields headers) {
        String contentType = headers.get(HttpHeader.CONTENT_TYPE);
        return contentType != null
                && contentType.regionMatches(
                        true, 0, EventStreamParser.MEDIA_TYPE, 0, EventStreamParser.MEDIA_TYPE.length());
    }

    /** Returns the limit in requests per second; a malformed or negative one is treated as absent. */
    private static OptionalDouble parseLimit(@Nullable String text) {
        if (text == null) {
            return OptionalDouble.empty();
        }
        try {
            double limit = Double.parseDouble(text.strip());
            return limit >= 0 && Double.isFinite(limit) ? OptionalDouble.of(limit) : OptionalDouble.empty();
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }

    private ServerNotice notice(int httpStatus, HttpFields headers) {
        String leaving = headers.get(dialect.leaving());
        return new ServerNotice(
                leaving != null && leaving.strip().equals(LEAVING),
                httpStatus == HttpStatus.SERVICE_UNAVAILABLE_503
                        ? RequestedPause.parse(headers.get(HttpHeader.RETRY_AFTER))
                        : new RequestedPause.None());
    }

    private static OptionalLong retryAfterMillis(HttpFields headers) {
        String text = headers.get(HttpHeader.RETRY_AFTER);
        if (text == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of((long) (Double.parseDouble(text.strip()) * MILLIS_PER_SECOND));
        } catch (NumberFormatException e) {
            // The header may also contain a date, which these servers do not send.
            return OptionalLong.empty();
        }
    }

    private void onContent(Response response, Content.Chunk chunk, Runnable demander) {
        endPoint.ifPresent(ResetAwareEndPoint::recordProgress);
        ByteBuffer buffer = chunk.getByteBuffer();
        receivedBytes += buffer.remaining();
        switch (responseState) {
            case ResponseState.Forwarding forwarding -> forwardContent(response, BufferUtil.toArray(buffer), demander);
            case ResponseState.Failure failure -> {
                failureBody.writeBytes(BufferUtil.toArray(buffer));
                if (failureBody.size() > MAXIMUM_FAILURE_BODY_BYTES) {
                    abort(response, "body of the error response exceeds " + MAXIMUM_FAILURE_BODY_BYTES + " bytes");
                } else {
                    demander.run();
                }
            }
            case ResponseState.Refusal refusal -> {
                skippedBytes += buffer.remaining();
                if (skippedBytes > MAXIMUM_FAILURE_BODY_BYTES) {
                    abort(response, "body of the refusal exceeds " + MAXIMUM_FAILURE_BODY_BYTES + " bytes");
                } else {
                    demander.run();
                }
            }
            case ResponseState.Invalid invalid -> {}
            case ResponseState.AwaitingHeaders awaitingHeaders -> {}
        }
    }

    private void forwardContent(Response response, byte[] bytes, Runnable demander) {
        byte[] forwardable = start.resumable() || eventStream ? eventBuffer.append(bytes) : bytes;
        if (eventBuffer.size() > MAXIMUM_EVENT_BYTES) {
            abort(response, "event exceeds " + MAXIMUM_EVENT_BYTES + " bytes");
            return;
        }
        if (forwardable.length == 0) {
            demander.run();
            return;
        }
        if (start.resumable() && !streamBegan) {
            streamBegan = true;
            events.post(new ForwardEvent.StreamBegan(start.ticket(), start.attempt()));
        }
        waitingForCaller = true;
        exchange.write(
                ByteBuffer.wrap(forwardable),
                Callback.from(
                        () -> {
                            waitingForCaller = false;
                            forwardedBytes += forwardable.length;
                            eventBuffer.lastEventId().ifPresent(exchange::setLastEventId);
                            demander.run();
                        },
                        cause -> abort(response, "caller disconnected")));
    }

    @SuppressWarnings("FutureReturnValueIgnored")
    private void abort(Response response, String reason) {
        aborted = true;
        response.abort(new IOException(reason));
    }

    /**
     * Stops sending a request whose whole response is here: a server that reads no further would keep the response from
     * its caller until the deadline.
     */
    @SuppressWarnings("FutureReturnValueIgnored")
    private void onResponseEnded(Response response) {
        if (!requestWritten && !unproven) {
            response.getRequest().abort(new IOException("response ended before its request was written"));
        }
    }

    /**
     * Returns whether the response is not whole. A failure to write the request does not matter to a response whose framing
     * shows its end. Any other one may have ended because the server has failed.
     */
    private boolean isIncomplete(Result result) {
        if (unproven) {
            return result.isFailed();
        }
        boolean hasDeclaredBytes = receivedBytes == declaredBytes && !waitingForCaller;
        return result.getResponseFailure() != null && !hasDeclaredBytes;
    }

    private void onComplete(Result result) {
        endPoint.ifPresent(ResetAwareEndPoint::endResponse);
        ForwardOutcome outcome = outcome(result);
        if (outcome instanceof ForwardOutcome.Completed completed && completed.endedByClose()) {
            // The operating system also closes the connections of a process that has crashed in order.
            ServerProbe.send(
                    client, start.address(), refused -> forwardRemainder(outcomeAfterProbe(completed, refused)));
        } else {
            forwardRemainder(outcome);
        }
    }

    private ForwardOutcome outcomeAfterProbe(ForwardOutcome.Completed completed, boolean refused) {
        if (cancelled) {
            return new ForwardOutcome.Cancelled(forwardedBytes, waitingForCaller);
        }
        return refused
                ? new ForwardOutcome.Broken(true, true, "server is gone after an answer without an end marker")
                : completed;
    }

    private void forwardRemainder(ForwardOutcome outcome) {
        if (outcome instanceof ForwardOutcome.Completed) {
            byte[] remainder = eventBuffer.remainder();
            if (remainder.length > 0) {
                exchange.write(
                        ByteBuffer.wrap(remainder), Callback.from(() -> finish(outcome), cause -> finish(outcome)));
                return;
            }
        }
        finish(outcome);
    }

    private void finish(ForwardOutcome outcome) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        if (outcome instanceof ForwardOutcome.Completed) {
            exchange.complete();
        }
        onEnd.accept(this);
        // The status of an answer that has begun was reported then, and is out of date at its end.
        boolean reported = responseState instanceof ResponseState.Forwarding;
        events.post(new ForwardEvent.ForwardEnded(
                start.ticket(), start.attempt(), outcome, reported ? Optional.empty() : status));
    }

    private ForwardOutcome outcome(Result result) {
        if (withheld.isPresent()) {
            return new ForwardOutcome.Withheld(withheld.get());
        }
        if (cancelled) {
            return new ForwardOutcome.Cancelled(forwardedBytes, waitingForCaller);
        }
        return switch (responseState) {
            case ResponseState.Invalid invalid -> new ForwardOutcome.Broken(false, false, invalid.reason());
            // The head says that the request has not run; what happens to the rest of the response does not matter.
            case ResponseState.Refusal refusal ->
                new ForwardOutcome.Refused(refusal.httpStatus(), refusal.retryAfterMillis());
            case ResponseState.AwaitingHeaders awaitingHeaders -> outcomeWithoutHeaders(result);
            case ResponseState.Forwarding forwarding -> {
                if (isIncomplete(result)) {
                    yield broken(true, result);
                }
                yield eventStream && eventBuffer.size() > 0
                        ? new ForwardOutcome.Broken(true, true, "stream ended within an event")
                        : new ForwardOutcome.Completed(endedByClose);
            }
            case ResponseState.Failure failure -> {
                if (isIncomplete(result)) {
                    yield broken(false, result);
                }
                exchange.recordFailureResponse(failure.httpStatus(), failure.headers(), failureBody.toByteArray());
                yield new ForwardOutcome.Failed(failure.httpStatus());
            }
        };
    }

    private ForwardOutcome outcomeWithoutHeaders(Result result) {
        if (!result.isFailed()) {
            return new ForwardOutcome.Broken(false, true, "response ended before its headers");
        }
        return sendingBegun
                ? broken(false, result)
                : new ForwardOutcome.NotSent(result.getFailure() instanceof ConnectException, failureName(result));
    }

    private ForwardOutcome broken(boolean begun, Result result) {
        return new ForwardOutcome.Broken(begun, !aborted, failureName(result));
    }

    private static String failureName(Result result) {
        return result.getFailure().getClass().getSimpleName();
    }
}
