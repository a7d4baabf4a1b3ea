package org.plantainwharf.backend;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.forward.ServerLoad;
import org.plantainwharf.http.EndToEndHeaders;
import org.plantainwharf.http.ForwardDialect;

/**
 * One attempt to pass a request on to a server. Nothing of an answer reaches the caller before its id and its seal were
 * seen; {@code ForwardEnded} is posted exactly once.
 *
 * <p>Thread-safe: Jetty calls the listeners of one request one after another; {@link #cancel} may come from any thread.
 */
final class ForwardAttempt {
    /** A failure's body is held back up to this size; servers send a short text. */
    private static final int MAXIMUM_FAILURE_BYTES = 64 << 10;

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final HttpClient client;
    private final ForwardDialect dialect;
    private final ForwardEffect.StartForward start;
    private final ForwardExchange exchange;
    private final EventSink events;
    private final Consumer<ForwardAttempt> onEnd;
    private final EventCutter cutter = EventCutter.create();
    private final ByteArrayOutputStream heldBody = new ByteArrayOutputStream();
    private Answer answer = new Answer.Awaited();
    private Optional<ServerLoad> load = Optional.empty();
    private volatile boolean begunSending;
    private volatile boolean cancelled;
    private volatile boolean waitingForCaller;
    private volatile long passedBytes;
    private volatile @Nullable Request request;

    /** What the answer's headers made of it. */
    private sealed interface Answer {
        /** No headers yet. */
        record Awaited() implements Answer {}

        /** The answer is the server's own success and is being passed on. */
        record Passing() implements Answer {}

        /** The server says that it has not run the request. */
        record Refusal(int httpStatus, OptionalLong retryAfterMillis) implements Answer {}

        /** The server's own failure is being held back. */
        record Failure(int httpStatus, List<HttpField> headers) implements Answer {}

        /** The answer belongs to another request or is no answer of a server. */
        record Foreign(String reason) implements Answer {}
    }

    private ForwardAttempt(
            HttpClient client,
            ForwardDialect dialect,
            ForwardEffect.StartForward start,
            ForwardExchange exchange,
            EventSink events,
            Consumer<ForwardAttempt> onEnd) {
        this.client = client;
        this.dialect = dialect;
        this.start = start;
        this.exchange = exchange;
        this.events = events;
        this.onEnd = onEnd;
    }

    /** Returns an attempt that is not sent yet; {@code onEnd} is run before its end is posted. */
    static ForwardAttempt create(
            HttpClient client,
            ForwardDialect dialect,
            ForwardEffect.StartForward start,
            ForwardExchange exchange,
            EventSink events,
            Consumer<ForwardAttempt> onEnd) {
        return new ForwardAttempt(client, dialect, start, exchange, events, onEnd);
    }

    long ticket() {
        return start.ticket();
    }

    /** Sends the request. */
    void send() {
        Request prepared = client.newRequest(URI.create("http://" + start.address()))
                .method(exchange.method())
                .path(exchange.pathQuery())
                // Silence is no reason to end an answer; the control thread ends it at its deadline.
                .idleTimeout(0, java.util.concurrent.TimeUnit.MILLISECONDS)
                .headers(this::setHeaders);
        if (exchange.body().length > 0) {
            prepared.body(new BytesRequestContent((String) null, exchange.body()));
        }
        request = prepared;
        prepared.onRequestBegin(begun -> begunSending = true)
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
        headers.put(dialect.deadline(), String.valueOf(start.remainingMillis()));
        headers.put(dialect.expectedServer(), start.server().value());
        start.account().ifPresent(account -> headers.put(dialect.account(), account.value()));
        if (headers.contains(dialect.model())) {
            headers.put(dialect.priority(), String.valueOf(start.priority()));
        }
        exchange.lastEventId().ifPresent(id -> headers.put("Last-Event-Id", id));
    }

    /** Ends the attempt; the connection is closed, so that the server stops work. */
    @SuppressWarnings("FutureReturnValueIgnored")
    void cancel() {
        cancelled = true;
        Request sent = request;
        if (sent != null) {
            sent.abort(new IOException("cancelled"));
        }
    }

    private void onHeaders(Response response) {
        HttpFields headers = response.getHeaders();
        load = parseLoad(headers.get(dialect.load()));
        answer = classify(response.getStatus(), headers);
        switch (answer) {
            case Answer.Passing passing -> {
                exchange.begin(response.getStatus(), EndToEndHeaders.of(headers));
                events.post(new ForwardEvent.ForwardBegan(start.ticket(), start.attempt(), load));
            }
            case Answer.Foreign foreign -> abort(response, foreign.reason());
            case Answer.Awaited awaited -> {}
            case Answer.Refusal refusal -> {}
            case Answer.Failure failure -> {}
        }
    }

    private Answer classify(int status, HttpFields headers) {
        String id = headers.get(dialect.requestId());
        if (id != null && !id.equals(exchange.requestId())) {
            return new Answer.Foreign("answer to another request");
        }
        if (headers.contains(dialect.notRun()) || status == 421) {
            return new Answer.Refusal(status, retryAfterMillis(headers));
        }
        if (id == null) {
            return new Answer.Foreign("answer without the request's id");
        }
        if (headers.contains(HttpHeader.CONTENT_ENCODING)) {
            return new Answer.Foreign("answer is encoded");
        }
        if (status < FIRST_SUCCESS || status >= FIRST_REDIRECT) {
            return new Answer.Failure(status, EndToEndHeaders.of(headers));
        }
        return headers.contains(dialect.seal()) ? new Answer.Passing() : new Answer.Foreign("answer without a seal");
    }

    private static Optional<ServerLoad> parseLoad(@Nullable String text) {
        if (text == null) {
            return Optional.empty();
        }
        String[] numbers = text.split(",", -1);
        try {
            return numbers.length == 3
                    ? Optional.of(new ServerLoad(
                            Integer.parseInt(numbers[0].strip()),
                            Integer.parseInt(numbers[1].strip()),
                            Integer.parseInt(numbers[2].strip())))
                    : Optional.empty();
        } catch (NumberFormatException e) {
            // A hint that cannot be read is no hint.
            return Optional.empty();
        }
    }

    private static OptionalLong retryAfterMillis(HttpFields headers) {
        String text = headers.get(HttpHeader.RETRY_AFTER);
        if (text == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of((long) (Double.parseDouble(text.strip()) * MILLIS_PER_SECOND));
        } catch (NumberFormatException e) {
            // A date instead of seconds; servers of this kind do not send one.
            return OptionalLong.empty();
        }
    }

    private void onContent(Response response, Content.Chunk chunk, Runnable demander) {
        ByteBuffer buffer = chunk.getByteBuffer();
        switch (answer) {
            case Answer.Passing passing -> pass(response, BufferUtil.toArray(buffer), demander);
            case Answer.Failure failure -> {
                heldBody.writeBytes(BufferUtil.toArray(buffer));
                if (heldBody.size() > MAXIMUM_FAILURE_BYTES) {
                    abort(response, "failure is too large to hold back");
                } else {
                    demander.run();
                }
            }
            case Answer.Refusal refusal -> demander.run();
            case Answer.Foreign foreign -> {}
            case Answer.Awaited awaited -> {}
        }
    }

    private void pass(Response response, byte[] bytes, Runnable demander) {
        byte[] whole = start.resumable() ? cutter.add(bytes) : bytes;
        if (whole.length == 0) {
            demander.run();
            return;
        }
        waitingForCaller = true;
        exchange.write(
                ByteBuffer.wrap(whole),
                Callback.from(
                        () -> {
                            waitingForCaller = false;
                            passedBytes += whole.length;
                            cutter.lastId().ifPresent(exchange::setLastEventId);
                            demander.run();
                        },
                        cause -> abort(response, "caller left")));
    }

    @SuppressWarnings("FutureReturnValueIgnored")
    private static void abort(Response response, String reason) {
        response.abort(new IOException(reason));
    }

    private void onComplete(Result result) {
        ForwardOutcome outcome = outcome(result);
        if (outcome instanceof ForwardOutcome.Completed) {
            byte[] rest = cutter.rest();
            if (rest.length > 0) {
                exchange.write(ByteBuffer.wrap(rest), Callback.from(() -> finish(outcome), cause -> finish(outcome)));
                return;
            }
        }
        finish(outcome);
    }

    private void finish(ForwardOutcome outcome) {
        if (outcome instanceof ForwardOutcome.Completed) {
            exchange.complete();
        }
        onEnd.accept(this);
        events.post(new ForwardEvent.ForwardEnded(start.ticket(), start.attempt(), outcome, load));
    }

    private ForwardOutcome outcome(Result result) {
        if (cancelled) {
            return new ForwardOutcome.Cancelled(passedBytes, waitingForCaller);
        }
        boolean passing = answer instanceof Answer.Passing;
        if (answer instanceof Answer.Foreign foreign) {
            return new ForwardOutcome.Broken(false, foreign.reason());
        }
        if (result.isFailed()) {
            String reason = result.getFailure().getClass().getSimpleName();
            return begunSending ? new ForwardOutcome.Broken(passing, reason) : new ForwardOutcome.NotSent(reason);
        }
        return switch (answer) {
            case Answer.Passing whole -> new ForwardOutcome.Completed();
            case Answer.Refusal refusal -> new ForwardOutcome.Refused(refusal.httpStatus(), refusal.retryAfterMillis());
            case Answer.Failure failure -> {
                exchange.holdFailure(failure.httpStatus(), failure.headers(), heldBody.toByteArray());
                yield new ForwardOutcome.Failed(failure.httpStatus());
            }
            case Answer.Foreign foreign -> new ForwardOutcome.Broken(false, foreign.reason());
            case Answer.Awaited awaited -> new ForwardOutcome.Broken(false, "answer without headers");
        };
    }
}
