package org.plantainwharf.backend;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Option;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content.Chunk;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.Content;
import org.plantainwharf.effect.AnswerHandling;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.AttemptProblem;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.identity.RequestId;

/**
 * One attempt at a call on a backend server, from the first byte to its single end event. Invariants: nothing of an
 * answer reaches the caller before its identity was checked; nothing reaches the caller after the attempt ended or a
 * later one began; {@link AttemptEvent.AttemptSent} is posted before the first byte is handed to the connection; exactly
 * one of completion and failure is posted.
 *
 * <p>Thread-safe: the state is guarded by the lock of the call's {@link CallProgress}. Events are posted without it.
 */
final class RunningAttempt {
    private static final long TOKEN_BATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int MAXIMUM_SILENT_LIMITS = 5;
    private static final int MAXIMUM_EVENT_BYTES = 256 << 10;
    private static final long CONTROL_TIMEOUT_MILLIS = 1_000;

    private final AttemptContext context;
    private final AttemptEffect.StartAttempt start;
    private final CallProgress progress;
    private final Runnable onEnd;
    private final String poolTag;
    private @Nullable Request exchange;
    private Scheduler.@Nullable Task silenceTask;
    private AnswerReader reader = new AnswerReader.AwaitingHeaders();
    private boolean sent;
    private boolean ended;
    private boolean headersSeen;
    private boolean firstTokenPosted;
    private boolean waitingForCaller;
    private int httpStatus;
    private long declaredLength = -1;
    private int tokens;
    private int unreportedTokens;
    private long lastReportNanos;
    private long lastByteNanos;
    private int silentLimits;

    private RunningAttempt(
            AttemptContext context, AttemptEffect.StartAttempt start, CallProgress progress, Runnable onEnd) {
        this.context = context;
        this.start = start;
        this.progress = progress;
        this.onEnd = onEnd;
        this.poolTag = context.pools().tag(start.address());
    }

    /**
     * Returns an attempt that is not sent yet.
     *
     * @param onEnd run once when the attempt has ended, before its end event is posted
     */
    static RunningAttempt create(
            AttemptContext context, AttemptEffect.StartAttempt start, CallProgress progress, Runnable onEnd) {
        return new RunningAttempt(context, start, progress, onEnd);
    }

    private RequestId request() {
        return start.attempt().request();
    }

    private int number() {
        return start.attempt().number();
    }

    /** Sends the call. */
    void send() {
        @Nullable Request prepared;
        synchronized (progress) {
            if (ended) {
                return;
            }
            prepared = progress.beginAttempt(number()) ? prepareOrNull() : null;
            exchange = prepared;
        }
        if (prepared == null) {
            context.count("backend.unsendable");
            end(new AttemptProblem.ConnectFailed(), true);
            return;
        }
        prepared.onRequestBegin(begun -> onBegin())
                .onResponseHeaders(this::onHeaders)
                .onResponseContentAsync(this::onContent)
                .send(this::onComplete);
    }

    private @Nullable Request prepareOrNull() {
        try {
            return prepare();
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return null;
        }
    }

    private Request prepare() throws JsonProcessingException {
        CallKind kind = start.call().kind();
        return switch (kind) {
            case CallKind.Model model -> modelRequest();
            case CallKind.LongWork work -> modelRequest();
            case CallKind.Service service ->
                serviceRequest(true, service.route().value(), request().value());
            // An order gets a connection of its own: a reused one can close while the order is being written, which
            // would leave the outcome unknown for no fault of the server.
            case CallKind.Order order ->
                serviceRequest(
                        false,
                        order.route().value(),
                        encode(start.call().account().value()) + ":"
                                + order.key().value());
        };
    }

    private Request modelRequest() throws JsonProcessingException {
        int resumeTokens = progress.tokens();
        byte[] body = ModelMessages.engineRequest(start.call().content().bytes(), progress.text(), resumeTokens);
        return common(true, "/v1/chat/completions")
                .headers(headers -> headers.put("X-Priority", String.valueOf(start.priority()))
                        .put("X-Resume-Tokens", String.valueOf(resumeTokens)))
                .body(new BytesRequestContent("application/json", body));
    }

    private Request serviceRequest(boolean reuse, String route, String key) {
        Content content = start.call().content();
        return common(reuse, "/call/" + encode(route))
                .headers(headers -> headers.put("Idempotency-Key", key))
                .body(new BytesRequestContent(content.mediaType(), content.bytes()));
    }

    private Request common(boolean reuse, String path) {
        long remaining = TimeUnit.NANOSECONDS.toMillis(
                start.deadlineNanos() - context.clock().nowNanos());
        Request request = (reuse ? context.pooled() : context.direct())
                .newRequest(URI.create("http://" + start.address() + path))
                .method(HttpMethod.POST)
                .tag(poolTag)
                // Zero means no limit: the silence limit of this class decides.
                .idleTimeout(0, TimeUnit.MILLISECONDS)
                .headers(headers -> headers.put("X-Request-Id", request().value())
                        .put("X-Attempt", String.valueOf(number()))
                        .put("X-Deadline-Ms", String.valueOf(Math.max(remaining, 0))));
        if (!reuse) {
            request.headers(headers -> headers.put(HttpHeader.CONNECTION, "close"));
        }
        return request;
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private void onBegin() {
        @Nullable Request aborted = null;
        synchronized (progress) {
            if (ended) {
                aborted = exchange;
            } else {
                sent = true;
                lastByteNanos = context.clock().nowNanos();
                lastReportNanos = lastByteNanos;
                watchSilence(start.silenceLimitMillis());
            }
        }
        if (aborted != null) {
            abort(aborted, "attempt ended before it was sent");
        } else {
            context.count("backend.attempts_sent");
            context.events().post(new AttemptEvent.AttemptSent(start.attempt()));
        }
    }

    private void onHeaders(Response response) {
        HttpFields headers = response.getHeaders();
        @Nullable AttemptProblem problem;
        boolean answersWithoutTokens = false;
        synchronized (progress) {
            if (ended) {
                return;
            }
            headersSeen = true;
            lastByteNanos = context.clock().nowNanos();
            silentLimits = 0;
            httpStatus = response.getStatus();
            declaredLength = headers.getLongField(HttpHeader.CONTENT_LENGTH);
            problem = problemOf(response);
            if (problem == null) {
                boolean stream = isModelCall()
                        && httpStatus == 200
                        && String.valueOf(headers.get(HttpHeader.CONTENT_TYPE)).startsWith(EVENT_STREAM);
                reader = stream
                        ? new AnswerReader.TokenStream(MAXIMUM_EVENT_BYTES)
                        : new AnswerReader.WholeBody(headers.get(HttpHeader.CONTENT_TYPE), maximumBytes());
                answersWithoutTokens = !stream && !firstTokenPosted;
                firstTokenPosted |= answersWithoutTokens;
            }
        }
        if (problem != null) {
            // A refusal leaves the connection usable; after any other problem it is not trusted again.
            end(problem, !(problem instanceof AttemptProblem.RefusedBeforeRunning));
        } else if (answersWithoutTokens) {
            context.events().post(new AttemptEvent.FirstTokenReceived(start.attempt()));
        }
    }

    private @Nullable AttemptProblem problemOf(Response response) {
        HttpFields headers = response.getHeaders();
        @Nullable String echoedRequest = headers.get("X-Request-Id");
        @Nullable String echoedAttempt = headers.get("X-Attempt");
        int status = response.getStatus();
        if (echoedRequest == null && echoedAttempt == null && status >= 500) {
            return new AttemptProblem.ServerError(status);
        }
        if (!request().value().equals(echoedRequest)
                || !String.valueOf(number()).equals(echoedAttempt)) {
            return new AttemptProblem.AnswerCrossed();
        }
        if (status == 503 && "true".equals(headers.get("X-Not-Run"))) {
            return new AttemptProblem.RefusedBeforeRunning("true".equals(headers.get("X-Leaving")));
        }
        return status >= 500 || status < 200 || (status >= 300 && status < 400)
                ? new AttemptProblem.ServerError(status)
                : null;
    }

    private boolean isModelCall() {
        return model() != null;
    }

    private CallKind.@Nullable Model model() {
        return switch (start.call().kind()) {
            case CallKind.Model model -> model;
            case CallKind.LongWork work -> work.model();
            case CallKind.Service service -> null;
            case CallKind.Order order -> null;
        };
    }

    /** Says whether tokens go to the caller as they arrive. */
    private boolean streamsToCaller() {
        return start.answerHandling() instanceof AnswerHandling.Stream
                && start.call().kind() instanceof CallKind.Model model
                && model.stream();
    }

    private int maximumBytes() {
        return switch (start.answerHandling()) {
            case AnswerHandling.Collect collect -> collect.maximumBytes();
            case AnswerHandling.Stream stream -> context.maximumAnswerBytes();
        };
    }

    private void onContent(Response response, Chunk chunk, Runnable demander) {
        byte[] bytes = new byte[chunk.remaining()];
        ByteBuffer buffer = chunk.getByteBuffer();
        buffer.get(bytes);
        @Nullable AttemptProblem problem = null;
        boolean first = false;
        int batch = 0;
        // The next bytes are asked for once this chunk's events are posted and the caller's connection has taken it.
        AtomicInteger outstanding = new AtomicInteger(2);
        Runnable release = () -> {
            if (outstanding.decrementAndGet() == 0) {
                demander.run();
            }
        };
        boolean handedOver = false;
        synchronized (progress) {
            if (ended || !progress.isCurrent(number())) {
                context.count("backend.late_chunks");
            } else {
                lastByteNanos = context.clock().nowNanos();
                silentLimits = 0;
                switch (reader) {
                    case AnswerReader.AwaitingHeaders awaiting -> problem = new AttemptProblem.AnswerTruncated();
                    case AnswerReader.WholeBody body -> {
                        if (!body.add(bytes)) {
                            problem = new AttemptProblem.AnswerTooLarge();
                        }
                    }
                    case AnswerReader.TokenStream stream -> {
                        int before = tokens;
                        ByteArrayOutputStream forCaller = new ByteArrayOutputStream();
                        problem = readTokens(stream, bytes, forCaller);
                        first = tokens > 0 && !firstTokenPosted;
                        firstTokenPosted |= first;
                        unreportedTokens += tokens - before - (first ? 1 : 0);
                        batch = takeBatch(false);
                        handedOver = writeToCaller(forCaller.toByteArray(), release);
                    }
                }
            }
        }
        if (first) {
            context.events().post(new AttemptEvent.FirstTokenReceived(start.attempt()));
        }
        if (batch > 0) {
            context.events().post(new AttemptEvent.TokensReceived(start.attempt(), batch));
        }
        if (problem != null) {
            end(problem, true);
        }
        if (!handedOver) {
            release.run();
        }
        release.run();
    }

    private int takeBatch(boolean whole) {
        long now = context.clock().nowNanos();
        if (unreportedTokens == 0 || (!whole && now - lastReportNanos < TOKEN_BATCH_NANOS)) {
            return 0;
        }
        int batch = unreportedTokens;
        unreportedTokens = 0;
        lastReportNanos = now;
        return batch;
    }

    private @Nullable AttemptProblem readTokens(
            AnswerReader.TokenStream stream, byte[] bytes, ByteArrayOutputStream forCaller) {
        Optional<List<ServerSentEvent>> events = stream.parser().feed(bytes);
        if (events.isEmpty()) {
            return new AttemptProblem.AnswerTooLarge();
        }
        for (ServerSentEvent event : events.get()) {
            if (stream.ended()) {
                return new AttemptProblem.AnswerTruncated();
            }
            if (event.name().equals("error")) {
                return new AttemptProblem.ServerError(httpStatus);
            }
            if (event.data().equals("[DONE]")) {
                stream.markEnded();
                continue;
            }
            try {
                ObjectNode parsed = ModelMessages.chunk(event.data());
                String piece = ModelMessages.content(parsed);
                String finishReason = ModelMessages.finishReason(parsed);
                if (!piece.isEmpty()) {
                    if (!progress.addToken(piece)) {
                        return new AttemptProblem.AnswerTooLarge();
                    }
                    tokens++;
                }
                // A resumed stream repeats the opening and, if the earlier end marker was lost, the closing chunk.
                boolean repeatsOpening = piece.isEmpty() && finishReason.isEmpty() && progress.begun();
                boolean repeatsClosing =
                        piece.isEmpty() && !progress.finishReason().isEmpty();
                if (!finishReason.isEmpty()) {
                    progress.setFinishReason(finishReason);
                }
                progress.markBegun();
                if (!repeatsOpening && !repeatsClosing) {
                    forCaller.writeBytes(ModelMessages.callerEvent(parsed, request()));
                }
            } catch (JsonProcessingException e) {
                return new AttemptProblem.AnswerTruncated();
            }
        }
        return null;
    }

    /** Hands bytes to the caller's connection. Returns whether {@code taken} runs once it has taken them. */
    private boolean writeToCaller(byte[] bytes, Runnable taken) {
        if (bytes.length == 0 || !streamsToCaller()) {
            return false;
        }
        Optional<AnswerSink> sink = context.sinks().sink(request());
        if (sink.isEmpty()) {
            return false;
        }
        waitingForCaller = true;
        sink.get().begin(200, EVENT_STREAM);
        sink.get().write(bytes, () -> {
            synchronized (progress) {
                waitingForCaller = false;
                lastByteNanos = context.clock().nowNanos();
            }
            taken.run();
        });
        return true;
    }

    private void onComplete(Result result) {
        @Nullable AttemptProblem problem = null;
        synchronized (progress) {
            if (ended) {
                return;
            }
            if (!sent) {
                problem = new AttemptProblem.ConnectFailed();
            } else if (result.isFailed()) {
                problem = headersSeen && declaredLength >= 0
                        ? new AttemptProblem.AnswerTruncated()
                        : new AttemptProblem.ConnectionLost();
            } else {
                boolean whole =
                        switch (reader) {
                            case AnswerReader.AwaitingHeaders awaiting -> false;
                            case AnswerReader.TokenStream stream -> stream.ended();
                            case AnswerReader.WholeBody body -> lengthIsKnown(result.getResponse());
                        };
                if (!whole) {
                    problem = new AttemptProblem.AnswerTruncated();
                }
            }
        }
        if (problem == null) {
            complete();
        } else {
            end(problem, false);
        }
    }

    /** A body that ends with the connection cannot be told from a truncated one. */
    private boolean lengthIsKnown(Response response) {
        return declaredLength >= 0
                || httpStatus == 204
                || response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING, "chunked");
    }

    private void complete() {
        Option<Content> collected = Option.none();
        int batch;
        int status;
        @Nullable AttemptProblem problem = null;
        synchronized (progress) {
            if (ended) {
                return;
            }
            status = httpStatus;
            @Nullable Content whole = null;
            try {
                whole = switch (reader) {
                    case AnswerReader.AwaitingHeaders awaiting -> null;
                    case AnswerReader.WholeBody body -> Content.of(body.mediaType(), body.bytes());
                    case AnswerReader.TokenStream stream -> streamsToCaller() ? null : assembled();
                };
            } catch (JsonProcessingException e) {
                problem = new AttemptProblem.AnswerTruncated();
            }
            if (whole != null && whole.length() > maximumBytes()) {
                problem = new AttemptProblem.AnswerTooLarge();
            }
            if (whole != null && problem == null) {
                collected = deliver(status, whole);
            }
            if (reader instanceof AnswerReader.TokenStream && streamsToCaller()) {
                context.sinks().sink(request()).ifPresent(sink -> sink.begin(200, EVENT_STREAM));
            }
            batch = takeBatch(true);
            if (problem == null) {
                markEnded();
            }
        }
        if (problem != null) {
            end(problem, false);
            return;
        }
        onEnd.run();
        if (batch > 0) {
            context.events().post(new AttemptEvent.TokensReceived(start.attempt(), batch));
        }
        context.events().post(new AttemptEvent.AttemptCompleted(start.attempt(), status, collected, tokens));
    }

    private @Nullable Content assembled() throws JsonProcessingException {
        CallKind.@Nullable Model model = model();
        return model == null
                ? null
                : Content.of("application/json", ModelMessages.completion(request(), model, progress));
    }

    /** Gives a whole body to the caller's connection, or returns it for the completion if that is what was asked. */
    private Option<Content> deliver(int status, Content whole) {
        return switch (start.answerHandling()) {
            case AnswerHandling.Collect collect -> Option.some(whole);
            case AnswerHandling.Stream stream -> {
                context.sinks().sink(request()).ifPresent(sink -> {
                    sink.begin(status, whole.mediaType());
                    sink.write(whole.bytes(), () -> {});
                });
                yield Option.none();
            }
        };
    }

    /** Ends the attempt on behalf of this host. */
    void cancel() {
        boolean wasSent;
        synchronized (progress) {
            wasSent = sent;
        }
        if (end(new AttemptProblem.Cancelled(wasSent), true) && wasSent && isModelCall()) {
            context.direct()
                    .newRequest(URI.create("http://" + start.address() + "/v1/cancel"))
                    .method(HttpMethod.POST)
                    .timeout(CONTROL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .headers(headers -> headers.put(HttpHeader.CONNECTION, "close")
                            .put("X-Request-Id", request().value())
                            .put("X-Attempt", String.valueOf(number())))
                    .send(result -> {
                        if (result.isFailed()) {
                            context.count("backend.cancels_lost");
                        }
                    });
        }
    }

    /** Ends the attempt with a problem, once. Returns whether this call ended it. */
    private boolean end(AttemptProblem problem, boolean closeConnection) {
        AttemptProblem reported = problem;
        @Nullable Request aborted;
        int batch;
        synchronized (progress) {
            if (ended) {
                return false;
            }
            if (problem instanceof AttemptProblem.Cancelled) {
                reported = new AttemptProblem.Cancelled(sent);
            }
            batch = takeBatch(true);
            markEnded();
            aborted = closeConnection ? exchange : null;
        }
        onEnd.run();
        context.count("backend.problems." + reported.code());
        if (batch > 0) {
            context.events().post(new AttemptEvent.TokensReceived(start.attempt(), batch));
        }
        context.events().post(new AttemptEvent.AttemptFailed(start.attempt(), reported, tokens));
        if (aborted != null) {
            abort(aborted, reported.code());
        }
        return true;
    }

    /** Closes the exchange; whether there was still anything to close does not matter. */
    @SuppressWarnings("FutureReturnValueIgnored")
    private static void abort(Request request, String reason) {
        request.abort(new IllegalStateException(reason));
    }

    private void markEnded() {
        ended = true;
        progress.endAttempt(number(), context.clock().nowNanos());
        if (silenceTask != null) {
            silenceTask.cancel();
        }
    }

    private void watchSilence(long delayMillis) {
        silenceTask = context.pooled().getScheduler().schedule(this::checkSilence, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void checkSilence() {
        long silentFrom;
        synchronized (progress) {
            if (ended) {
                return;
            }
            long limit = start.silenceLimitMillis();
            long silentMillis = TimeUnit.NANOSECONDS.toMillis(context.clock().nowNanos() - lastByteNanos);
            if (waitingForCaller || silentMillis < limit) {
                watchSilence(waitingForCaller ? limit : Math.max(limit - silentMillis, 1));
                return;
            }
            silentFrom = lastByteNanos;
        }
        context.count("backend.silence_probes");
        context.direct()
                .newRequest(URI.create("http://" + start.address() + "/v1/load?request="
                        + encode(request().value())))
                .timeout(Math.min(start.silenceLimitMillis(), CONTROL_TIMEOUT_MILLIS), TimeUnit.MILLISECONDS)
                .headers(headers -> headers.put(HttpHeader.CONNECTION, "close"))
                .send(new BufferingResponseListener(MAXIMUM_EVENT_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        boolean answered =
                                result.isSucceeded() && result.getResponse().getStatus() == 200;
                        probed(silentFrom, answered, answered && LoadMessages.stillRuns(getContentAsString()));
                    }
                });
    }

    private void probed(long silentFrom, boolean answered, boolean stillRuns) {
        boolean silent;
        synchronized (progress) {
            if (ended) {
                return;
            }
            silentLimits++;
            boolean heardMeanwhile = lastByteNanos != silentFrom;
            silent = !heardMeanwhile && (!stillRuns || silentLimits >= MAXIMUM_SILENT_LIMITS);
            if (!silent) {
                if (!heardMeanwhile) {
                    lastByteNanos = context.clock().nowNanos();
                }
                watchSilence(start.silenceLimitMillis());
            }
        }
        if (silent) {
            context.pools().abandon(start.address(), poolTag);
            end(new AttemptProblem.ConnectionSilent(), true);
        }
        context.events().post(new ServerEvent.ProbeFinished(start.server(), answered));
    }
}
