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
 * One attempt at a call on a backend server. Invariants:
 *
 * <ul>
 *   <li>No part of a response is written to the caller before the request id and attempt number that it echoes have
 *       been checked.
 *   <li>Nothing is written to the caller after the attempt has ended or a later one has begun.
 *   <li>{@link AttemptEvent.AttemptSent} is posted before the first byte is written to the connection.
 *   <li>Exactly one of {@link AttemptEvent.AttemptCompleted} and {@link AttemptEvent.AttemptFailed} is posted.
 * </ul>
 *
 * <p>Thread-safe: the state is guarded by the lock of the call's {@link CallProgress}. Events are posted without
 * holding that lock.
 */
final class RunningAttempt {
    private static final long TOKEN_BATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Consecutive idle timeouts after which the attempt fails even if the server reports the request as running. */
    private static final int MAXIMUM_IDLE_TIMEOUTS = 5;

    private static final int MAXIMUM_EVENT_BYTES = 256 << 10;
    private static final long CONTROL_REQUEST_TIMEOUT_MILLIS = 1_000;

    private final AttemptContext context;
    private final AttemptEffect.StartAttempt start;
    private final CallProgress progress;
    private final Runnable onEnd;
    private final String poolTag;
    private @Nullable Request httpRequest;
    private Scheduler.@Nullable Task idleCheckTask;
    private ResponseReader reader = new ResponseReader.AwaitingHeaders();
    private boolean sent;
    private boolean ended;
    private volatile boolean requestWritten;
    private boolean headersReceived;
    private boolean firstTokenPosted;
    private boolean waitingForCaller;
    private int httpStatus;
    private long declaredLength = -1;
    private int receivedTokens;
    private int unreportedTokens;
    private long lastReportNanos;
    private long lastByteNanos;
    private int idleTimeouts;

    private RunningAttempt(
            AttemptContext context, AttemptEffect.StartAttempt start, CallProgress progress, Runnable onEnd) {
        this.context = context;
        this.start = start;
        this.progress = progress;
        this.onEnd = onEnd;
        this.poolTag = context.poolGenerations().tag(start.address());
    }

    /**
     * Returns an attempt that has not been sent.
     *
     * @param onEnd run once when the attempt has ended, before its final event is posted
     */
    static RunningAttempt create(
            AttemptContext context, AttemptEffect.StartAttempt start, CallProgress progress, Runnable onEnd) {
        return new RunningAttempt(context, start, progress, onEnd);
    }

    private RequestId requestId() {
        return start.attempt().request();
    }

    private int attemptNumber() {
        return start.attempt().number();
    }

    /** Sends the call. The attempt fails if a later one has begun or the request cannot be built. */
    void send() {
        @Nullable Request prepared;
        synchronized (progress) {
            if (ended) {
                return;
            }
            prepared = progress.beginAttempt(attemptNumber()) ? buildRequestOrNull() : null;
            httpRequest = prepared;
        }
        if (prepared == null) {
            context.incrementCounter("backend.unsendable");
            fail(new AttemptProblem.ConnectFailed(), true);
            return;
        }
        prepared.onRequestBegin(begun -> onBegin())
                .onResponseHeaders(this::onHeaders)
                .onResponseContentAsync(this::onContent)
                .onResponseSuccess(response -> onResponseEnded(response.getRequest()))
                .onRequestSuccess(written -> requestWritten = true)
                .send(this::onComplete);
    }

    private @Nullable Request buildRequestOrNull() {
        try {
            return buildRequest();
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return null;
        }
    }

    private Request buildRequest() throws JsonProcessingException {
        CallKind kind = start.call().kind();
        return switch (kind) {
            case CallKind.Model model -> modelRequest();
            case CallKind.LongWork work -> modelRequest();
            case CallKind.Service service ->
                serviceRequest(true, service.route().value(), requestId().value());
            // Orders use a new connection each: a server may close a reused connection while the order is being
            // written, and the outcome of the order would be unknown although the server did not fail.
            case CallKind.Order order ->
                serviceRequest(
                        false,
                        order.route().value(),
                        encode(start.call().account().value()) + ":"
                                + order.key().value());
        };
    }

    private Request modelRequest() throws JsonProcessingException {
        int resumeTokens = progress.tokenCount();
        byte[] body = ModelMessages.engineRequest(start.call().content().bytes(), progress.text(), resumeTokens);
        return newRequest(true, "/v1/chat/completions")
                .headers(headers -> headers.put("X-Priority", String.valueOf(start.priority()))
                        .put("X-Resume-Tokens", String.valueOf(resumeTokens)))
                .body(new BytesRequestContent("application/json", body));
    }

    private Request serviceRequest(boolean reuse, String route, String key) {
        Content content = start.call().content();
        return newRequest(reuse, "/call/" + encode(route))
                .headers(headers -> headers.put("Idempotency-Key", key))
                .body(new BytesRequestContent(content.mediaType(), content.bytes()));
    }

    private Request newRequest(boolean reuse, String path) {
        long remaining = TimeUnit.NANOSECONDS.toMillis(
                start.deadlineNanos() - context.clock().nowNanos());
        Request request = (reuse ? context.pooledClient() : context.singleUseClient())
                .newRequest(URI.create("http://" + start.address() + path))
                .method(HttpMethod.POST)
                .tag(poolTag)
                // Zero disables the idle timeout of the HTTP client; this class checks for idle connections itself.
                .idleTimeout(0, TimeUnit.MILLISECONDS)
                .headers(headers -> headers.put("X-Request-Id", requestId().value())
                        .put("X-Attempt", String.valueOf(attemptNumber()))
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
                aborted = httpRequest;
            } else {
                sent = true;
                lastByteNanos = context.clock().nowNanos();
                lastReportNanos = lastByteNanos;
                scheduleIdleCheck(start.idleTimeoutMillis());
            }
        }
        if (aborted != null) {
            abort(aborted, "attempt ended before the request was sent");
        } else {
            context.incrementCounter("backend.attempts_sent");
            context.events().post(new AttemptEvent.AttemptSent(start.attempt()));
        }
    }

    private void onHeaders(Response response) {
        HttpFields headers = response.getHeaders();
        @Nullable AttemptProblem problem;
        boolean hasUnstreamedBody = false;
        synchronized (progress) {
            if (ended) {
                return;
            }
            headersReceived = true;
            lastByteNanos = context.clock().nowNanos();
            idleTimeouts = 0;
            httpStatus = response.getStatus();
            declaredLength = headers.getLongField(HttpHeader.CONTENT_LENGTH);
            problem = checkHeaders(response);
            if (problem == null) {
                boolean stream = isModelCall()
                        && httpStatus == 200
                        && String.valueOf(headers.get(HttpHeader.CONTENT_TYPE))
                                .startsWith(EventStreamParser.MEDIA_TYPE);
                reader = stream
                        ? new ResponseReader.TokenStream(MAXIMUM_EVENT_BYTES)
                        : new ResponseReader.BufferedBody(headers.get(HttpHeader.CONTENT_TYPE), maximumBytes());
                hasUnstreamedBody = !stream && !firstTokenPosted;
                firstTokenPosted |= hasUnstreamedBody;
            }
        }
        if (problem != null) {
            // A connection remains usable after a refusal. After any other problem it must not be reused.
            fail(problem, !(problem instanceof AttemptProblem.RefusedBeforeRunning));
        } else if (hasUnstreamedBody) {
            context.events().post(new AttemptEvent.FirstTokenReceived(start.attempt()));
        }
    }

    /** Returns the problem that status and headers show, or null if the body is to be read. */
    private @Nullable AttemptProblem checkHeaders(Response response) {
        HttpFields headers = response.getHeaders();
        @Nullable String echoedRequest = headers.get("X-Request-Id");
        @Nullable String echoedAttempt = headers.get("X-Attempt");
        int status = response.getStatus();
        if (echoedRequest == null && echoedAttempt == null && status >= 500) {
            return new AttemptProblem.ServerError(status);
        }
        if (!requestId().value().equals(echoedRequest)
                || !String.valueOf(attemptNumber()).equals(echoedAttempt)) {
            return new AttemptProblem.AnswerMismatched();
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

    /** Returns the model parameters of the call, or null if it is not a model call. */
    private CallKind.@Nullable Model model() {
        return switch (start.call().kind()) {
            case CallKind.Model model -> model;
            case CallKind.LongWork work -> work.model();
            case CallKind.Service service -> null;
            case CallKind.Order order -> null;
        };
    }

    /** Returns whether tokens are sent to the caller as they arrive. */
    private boolean streamsToCaller() {
        return start.answerHandling() instanceof AnswerHandling.Stream
                && start.call().kind() instanceof CallKind.Model model
                && model.stream();
    }

    private int maximumBytes() {
        return switch (start.answerHandling()) {
            case AnswerHandling.Buffer collect -> collect.maximumBytes();
            case AnswerHandling.Stream stream -> context.maximumAnswerBytes();
        };
    }

    private void onContent(Response response, Chunk chunk, Runnable demander) {
        byte[] bytes = new byte[chunk.remaining()];
        ByteBuffer buffer = chunk.getByteBuffer();
        buffer.get(bytes);
        @Nullable AttemptProblem problem = null;
        boolean isFirstToken = false;
        int batch = 0;
        // Back pressure: more content is demanded once the events of this chunk are posted and the caller's connection
        // has accepted its bytes.
        AtomicInteger outstanding = new AtomicInteger(2);
        Runnable demandNext = () -> {
            if (outstanding.decrementAndGet() == 0) {
                demander.run();
            }
        };
        boolean writePending = false;
        synchronized (progress) {
            if (ended || !progress.isCurrent(attemptNumber())) {
                context.incrementCounter("backend.late_chunks");
            } else {
                lastByteNanos = context.clock().nowNanos();
                idleTimeouts = 0;
                switch (reader) {
                    case ResponseReader.AwaitingHeaders awaiting -> problem = new AttemptProblem.AnswerTruncated();
                    case ResponseReader.BufferedBody body -> {
                        if (!body.append(bytes)) {
                            problem = new AttemptProblem.AnswerTooLarge();
                        }
                    }
                    case ResponseReader.TokenStream stream -> {
                        int receivedBefore = receivedTokens;
                        ByteArrayOutputStream callerEvents = new ByteArrayOutputStream();
                        problem = readTokens(stream, bytes, callerEvents);
                        isFirstToken = receivedTokens > 0 && !firstTokenPosted;
                        firstTokenPosted |= isFirstToken;
                        unreportedTokens += receivedTokens - receivedBefore - (isFirstToken ? 1 : 0);
                        batch = takeTokenBatch(false);
                        writePending = writeToCaller(callerEvents.toByteArray(), demandNext);
                    }
                }
            }
        }
        if (isFirstToken) {
            context.events().post(new AttemptEvent.FirstTokenReceived(start.attempt()));
        }
        if (batch > 0) {
            context.events().post(new AttemptEvent.TokensReceived(start.attempt(), batch));
        }
        if (problem != null) {
            fail(problem, true);
        }
        if (!writePending) {
            demandNext.run();
        }
        demandNext.run();
    }

    /**
     * Returns the number of tokens to report now and counts them as reported.
     *
     * @param flush whether to report them even if the last report was less than a batch interval ago
     */
    private int takeTokenBatch(boolean flush) {
        long now = context.clock().nowNanos();
        if (unreportedTokens == 0 || (!flush && now - lastReportNanos < TOKEN_BATCH_NANOS)) {
            return 0;
        }
        int batch = unreportedTokens;
        unreportedTokens = 0;
        lastReportNanos = now;
        return batch;
    }

    /**
     * Reads the events in {@code bytes} and appends those for the caller. Returns the problem found, or null if none.
     */
    private @Nullable AttemptProblem readTokens(
            ResponseReader.TokenStream stream, byte[] bytes, ByteArrayOutputStream callerEvents) {
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
                ObjectNode parsed = ModelMessages.parseChunk(event.data());
                String tokenText = ModelMessages.content(parsed);
                String finishReason = ModelMessages.finishReason(parsed);
                if (!tokenText.isEmpty()) {
                    if (!progress.addToken(tokenText)) {
                        return new AttemptProblem.AnswerTooLarge();
                    }
                    receivedTokens++;
                }
                // A resumed stream repeats the opening chunk. It also repeats the closing chunk if the previous attempt
                // received that but not the end marker.
                boolean repeatsOpening = tokenText.isEmpty() && finishReason.isEmpty() && progress.streamBegun();
                boolean repeatsClosing =
                        tokenText.isEmpty() && !progress.finishReason().isEmpty();
                if (!finishReason.isEmpty()) {
                    progress.setFinishReason(finishReason);
                }
                progress.markStreamBegun();
                if (!repeatsOpening && !repeatsClosing) {
                    callerEvents.writeBytes(ModelMessages.callerEvent(parsed, requestId()));
                }
            } catch (JsonProcessingException e) {
                return new AttemptProblem.AnswerTruncated();
            }
        }
        return null;
    }

    /**
     * Writes bytes to the caller's connection.
     *
     * @param onWritten run once the connection has accepted the bytes, but only if a write was started
     * @return whether a write was started; false if there is nothing to write or the caller has disconnected
     */
    private boolean writeToCaller(byte[] bytes, Runnable onWritten) {
        if (bytes.length == 0 || !streamsToCaller()) {
            return false;
        }
        Optional<ResponseSink> sink = context.sinks().sink(requestId());
        if (sink.isEmpty()) {
            return false;
        }
        waitingForCaller = true;
        sink.get().begin(200, EventStreamParser.MEDIA_TYPE);
        sink.get().write(bytes, () -> {
            synchronized (progress) {
                waitingForCaller = false;
                lastByteNanos = context.clock().nowNanos();
            }
            onWritten.run();
        });
        return true;
    }

    /** Stops sending a request whose response has ended, so that the answer need not wait for a server that reads no more. */
    private void onResponseEnded(Request answered) {
        if (!requestWritten) {
            abort(answered, "response ended before its request was written");
        }
    }

    private void onComplete(Result result) {
        @Nullable AttemptProblem problem = null;
        synchronized (progress) {
            if (ended) {
                return;
            }
            if (!sent) {
                problem = new AttemptProblem.ConnectFailed();
            } else if (isIncomplete(result)) {
                problem = headersReceived && declaredLength >= 0
                        ? new AttemptProblem.AnswerTruncated()
                        : new AttemptProblem.ConnectionLost();
            } else {
                boolean complete =
                        switch (reader) {
                            case ResponseReader.AwaitingHeaders awaiting -> false;
                            case ResponseReader.TokenStream stream -> stream.ended();
                            case ResponseReader.BufferedBody body -> hasDelimitedBody(result.getResponse());
                        };
                if (!complete) {
                    problem = new AttemptProblem.AnswerTruncated();
                }
            }
        }
        if (problem == null) {
            complete();
        } else {
            fail(problem, false);
        }
    }

    /** Returns whether the response failed. A failure to write the request does not matter to a response that is whole. */
    private boolean isIncomplete(Result result) {
        boolean hasDeclaredBytes = reader instanceof ResponseReader.BufferedBody body
                && declaredLength >= 0
                && body.bytes().length == declaredLength;
        return result.getResponseFailure() != null && !hasDeclaredBytes;
    }

    /**
     * Returns whether the protocol marks the end of the body. A body that ends when the connection closes cannot be
     * distinguished from a truncated one.
     */
    private boolean hasDelimitedBody(Response response) {
        return declaredLength >= 0
                || httpStatus == 204
                || response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING, "chunked");
    }

    private void complete() {
        Option<Content> bufferedAnswer = Option.none();
        int batch;
        int status;
        @Nullable AttemptProblem problem = null;
        synchronized (progress) {
            if (ended) {
                return;
            }
            status = httpStatus;
            @Nullable Content body = null;
            try {
                body = switch (reader) {
                    case ResponseReader.AwaitingHeaders awaiting -> null;
                    case ResponseReader.BufferedBody buffered -> Content.of(buffered.mediaType(), buffered.bytes());
                    case ResponseReader.TokenStream stream -> streamsToCaller() ? null : buildCompletion();
                };
            } catch (JsonProcessingException e) {
                problem = new AttemptProblem.AnswerTruncated();
            }
            if (body != null && body.length() > maximumBytes()) {
                problem = new AttemptProblem.AnswerTooLarge();
            }
            if (body != null && problem == null) {
                bufferedAnswer = deliver(status, body);
            }
            if (reader instanceof ResponseReader.TokenStream && streamsToCaller()) {
                context.sinks().sink(requestId()).ifPresent(sink -> sink.begin(200, EventStreamParser.MEDIA_TYPE));
            }
            batch = takeTokenBatch(true);
            if (problem == null) {
                markEnded();
            }
        }
        if (problem != null) {
            fail(problem, false);
            return;
        }
        onEnd.run();
        if (batch > 0) {
            context.events().post(new AttemptEvent.TokensReceived(start.attempt(), batch));
        }
        context.events()
                .post(new AttemptEvent.AttemptCompleted(start.attempt(), status, bufferedAnswer, receivedTokens));
    }

    /** Returns the complete JSON response of a model call, or null for other calls. */
    private @Nullable Content buildCompletion() throws JsonProcessingException {
        CallKind.@Nullable Model model = model();
        return model == null
                ? null
                : Content.of("application/json", ModelMessages.completion(requestId(), model, progress));
    }

    /** Writes a complete body to the caller's connection, or returns it if it is to be part of the completion event. */
    private Option<Content> deliver(int status, Content body) {
        return switch (start.answerHandling()) {
            case AnswerHandling.Buffer collect -> Option.some(body);
            case AnswerHandling.Stream stream -> {
                context.sinks().sink(requestId()).ifPresent(sink -> {
                    sink.begin(status, body.mediaType());
                    sink.write(body.bytes(), () -> {});
                });
                yield Option.none();
            }
        };
    }

    /** Cancels the attempt. If a model call has been sent, also asks the engine to cancel it. */
    void cancel() {
        boolean wasSent;
        synchronized (progress) {
            wasSent = sent;
        }
        if (fail(new AttemptProblem.Cancelled(wasSent), true) && wasSent && isModelCall()) {
            context.singleUseClient()
                    .newRequest(URI.create("http://" + start.address() + "/v1/cancel"))
                    .method(HttpMethod.POST)
                    .timeout(CONTROL_REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .headers(headers -> headers.put(HttpHeader.CONNECTION, "close")
                            .put("X-Request-Id", requestId().value())
                            .put("X-Attempt", String.valueOf(attemptNumber())))
                    .send(result -> {
                        if (result.isFailed()) {
                            context.incrementCounter("backend.cancels_lost");
                        }
                    });
        }
    }

    /** Ends the attempt with a problem unless it has ended already. Returns whether this call ended it. */
    private boolean fail(AttemptProblem problem, boolean closeConnection) {
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
            batch = takeTokenBatch(true);
            markEnded();
            aborted = closeConnection ? httpRequest : null;
        }
        onEnd.run();
        context.incrementCounter("backend.problems." + reported.code());
        if (batch > 0) {
            context.events().post(new AttemptEvent.TokensReceived(start.attempt(), batch));
        }
        context.events().post(new AttemptEvent.AttemptFailed(start.attempt(), reported, receivedTokens));
        if (aborted != null) {
            abort(aborted, reported.code());
        }
        return true;
    }

    /** Aborts a request. Has no effect if the request has already completed. */
    @SuppressWarnings("FutureReturnValueIgnored")
    private static void abort(Request request, String reason) {
        request.abort(new IllegalStateException(reason));
    }

    private void markEnded() {
        ended = true;
        progress.endAttempt(attemptNumber(), context.clock().nowNanos());
        if (idleCheckTask != null) {
            idleCheckTask.cancel();
        }
    }

    private void scheduleIdleCheck(long delayMillis) {
        idleCheckTask =
                context.pooledClient().getScheduler().schedule(this::checkIdle, delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Probes the server if no byte has arrived within the idle timeout, unless the caller is slow to accept bytes. */
    private void checkIdle() {
        long idleSinceNanos;
        synchronized (progress) {
            if (ended) {
                return;
            }
            long idleTimeoutMillis = start.idleTimeoutMillis();
            long idleMillis = TimeUnit.NANOSECONDS.toMillis(context.clock().nowNanos() - lastByteNanos);
            if (waitingForCaller || idleMillis < idleTimeoutMillis) {
                scheduleIdleCheck(waitingForCaller ? idleTimeoutMillis : Math.max(idleTimeoutMillis - idleMillis, 1));
                return;
            }
            idleSinceNanos = lastByteNanos;
        }
        context.incrementCounter("backend.silence_probes");
        context.singleUseClient()
                .newRequest(URI.create("http://" + start.address() + "/v1/load?request="
                        + encode(requestId().value())))
                .timeout(Math.min(start.idleTimeoutMillis(), CONTROL_REQUEST_TIMEOUT_MILLIS), TimeUnit.MILLISECONDS)
                .headers(headers -> headers.put(HttpHeader.CONNECTION, "close"))
                .send(new BufferingResponseListener(MAXIMUM_EVENT_BYTES) {
                    @Override
                    public void onComplete(Result result) {
                        boolean answered =
                                result.isSucceeded() && result.getResponse().getStatus() == 200;
                        onProbeCompleted(
                                idleSinceNanos,
                                answered,
                                answered && LoadMessages.reportsRequestRunning(getContentAsString()));
                    }
                });
    }

    /**
     * Fails the attempt and retires the pooled connections to the server if still no byte has arrived, unless the
     * server reports the request as running and fewer than {@link #MAXIMUM_IDLE_TIMEOUTS} idle timeouts have passed.
     */
    private void onProbeCompleted(long idleSinceNanos, boolean answered, boolean requestRunning) {
        boolean timedOut;
        synchronized (progress) {
            if (ended) {
                return;
            }
            idleTimeouts++;
            boolean bytesReceivedSince = lastByteNanos != idleSinceNanos;
            timedOut = !bytesReceivedSince && (!requestRunning || idleTimeouts >= MAXIMUM_IDLE_TIMEOUTS);
            if (!timedOut) {
                if (!bytesReceivedSince) {
                    lastByteNanos = context.clock().nowNanos();
                }
                scheduleIdleCheck(start.idleTimeoutMillis());
            }
        }
        if (timedOut) {
            context.poolGenerations().retire(start.address(), poolTag);
            fail(new AttemptProblem.ConnectionSilent(), true);
        }
        context.events().post(new ServerEvent.ProbeFinished(start.server(), answered));
    }
}
