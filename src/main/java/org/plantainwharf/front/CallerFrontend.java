package org.plantainwharf.front;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.backend.ResponseSink;
import org.plantainwharf.backend.ResponseSinks;
import org.plantainwharf.board.BoardView;
import org.plantainwharf.call.Content;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.log.EventLog;
import org.plantainwharf.metric.Telemetry;
import org.plantainwharf.settings.Settings;

/**
 * The HTTP server for callers of the project's own API (chat completions, service calls and work), whose requests are
 * parsed here: HTTP/1.1 and HTTP/2 cleartext on one port. {@link ForwardingFrontend} serves requests that are forwarded
 * unchanged instead. Invariant: every request gets exactly one answer, which carries the request id.
 *
 * <p>Thread-safe. {@link #execute} does not block; answers are written on threads of this class and of the HTTP server.
 */
public final class CallerFrontend implements ResponseSinks {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Share of the heap for the bodies of unfinished requests. */
    private static final double BODY_HEAP_SHARE = 0.3;

    private static final long FLUSH_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Settings settings;
    private final Clock clock;
    private final BodyBudget bodies;
    private final Supplier<BoardView> view;
    private final EventSink events;
    private final MetricRegistry metrics;
    private final CallRequestParser requestParser = CallRequestParser.create();
    private final Map<RequestId, HttpExchange> exchanges = new ConcurrentHashMap<>();
    private final ExecutorService answerExecutor =
            Executors.newSingleThreadExecutor(task -> new Thread(task, "caller-answers"));
    private final HttpListener listener;

    private CallerFrontend(
            Settings settings, Clock clock, Supplier<BoardView> view, EventSink events, MetricRegistry metrics) {
        this.settings = settings;
        this.clock = clock;
        this.bodies = BodyBudget.ofHeap(clock, BODY_HEAP_SHARE);
        this.view = view;
        this.events = events;
        this.metrics = metrics;
        this.listener = HttpListener.create(
                "callers",
                settings.callerAddress(),
                true,
                settings.bounds(),
                new CallerHandler(),
                LibraryAnswers.create("callers", new Telemetry(metrics, EventLog.of(LOGGER)::info)));
    }

    /**
     * Returns a server that does not listen yet.
     *
     * @param view supplies the latest published view of the board
     */
    public static CallerFrontend create(
            Settings settings, Clock clock, Supplier<BoardView> view, EventSink events, MetricRegistry metrics) {
        return new CallerFrontend(settings, clock, view, events, metrics);
    }

    /**
     * Starts listening.
     *
     * @throws IllegalStateException if the address cannot be bound
     */
    public void start() {
        listener.start();
    }

    /** Returns the bound port, which the operating system chose if port 0 was configured. */
    public int port() {
        return listener.port();
    }

    /** Returns the number of requests that were submitted and whose answer is not complete. */
    public int openExchanges() {
        return exchanges.size();
    }

    /**
     * Stops listening and closes all connections. Before that it waits up to 1 s for the queued effects to be executed,
     * and up to 1 s more until every decided answer is written.
     */
    public void stop() {
        answerExecutor.shutdown();
        try {
            answerExecutor.awaitTermination(FLUSH_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
            awaitFlushed();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            listener.stop();
        } catch (Exception e) {
            LOGGER.atWarning().withCause(e).log("event=caller_front_stop_failed");
        }
    }

    private void awaitFlushed() throws InterruptedException {
        long endNanos = clock.nowNanos() + FLUSH_TIMEOUT_NANOS;
        synchronized (exchanges) {
            long remainingNanos = FLUSH_TIMEOUT_NANOS;
            while (remainingNanos > 0 && exchanges.values().stream().anyMatch(HttpExchange::isFlushing)) {
                TimeUnit.NANOSECONDS.timedWait(exchanges, remainingNanos);
                remainingNanos = endNanos - clock.nowNanos();
            }
        }
    }

    private void removeExchange(RequestId id) {
        synchronized (exchanges) {
            exchanges.remove(id);
            exchanges.notifyAll();
        }
    }

    @Override
    public Optional<ResponseSink> sink(RequestId request) {
        return Optional.ofNullable(exchanges.get(request))
                .filter(exchange -> !exchange.isDecided())
                .map(exchange -> exchange);
    }

    /** Answers a caller. An effect for a request that is no longer open is counted and ignored. */
    public void execute(CallEffect effect) {
        try {
            answerExecutor.execute(() -> answer(effect));
        } catch (RejectedExecutionException e) {
            metrics.counter("front.answers_after_stop").inc();
        }
    }

    private void answer(CallEffect effect) {
        @Nullable HttpExchange exchange = exchanges.get(effect.request());
        if (exchange == null) {
            metrics.counter("front.answers_without_caller").inc();
            return;
        }
        switch (effect) {
            case CallEffect.FailCall fail -> exchange.fail(fail.failure());
            case CallEffect.AnswerCall complete -> exchange.answer(complete.httpStatus(), complete.answer());
            case CallEffect.FinishStream finish -> exchange.finish();
            case CallEffect.AcceptCall accept -> {
                Map<String, String> location = Map.of("Location", "/v1/work/" + accept.request());
                exchange.answer(
                        202,
                        json(JSON.createObjectNode().put("id", accept.request().value())),
                        location);
            }
            case CallEffect.ReportPending pending ->
                exchange.answer(
                        200,
                        json(JSON.createObjectNode()
                                .put("id", pending.work().value())
                                .put("state", "running")
                                .put("attempt", pending.attempt())));
            case CallEffect.ReportFinished finished ->
                exchange.answer(
                        200,
                        json(JSON.createObjectNode()
                                .put("id", finished.work().value())
                                .put("state", "finished")
                                .put("http_status", finished.httpStatus())
                                .put("length", finished.length())
                                .put("sha256", finished.digest())));
        }
    }

    private static Content json(ObjectNode body) {
        return Content.of("application/json", body.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Handles requests on threads of the HTTP server. */
    private final class CallerHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            metrics.counter("front.requests").inc();
            RequestId id = RequestId.of(UUID.randomUUID().toString());
            HttpExchange exchange = HttpExchange.create(
                    id,
                    request,
                    response,
                    callback,
                    () -> events.post(new CallEvent.CallerLeft(id)),
                    () -> removeExchange(id));
            @Nullable String path = request.getHttpURI().getDecodedPath();
            Either<Failure, CallTarget> target = CallTarget.parse(request.getMethod(), path == null ? "" : path);
            if (target.isRight() && target.get() instanceof CallTarget.Health) {
                answerHealthCheck(exchange);
                return true;
            }
            Either<Failure, CallerHeaders> headers = RequestReader.readHeaders(request);
            target.flatMap(known -> headers.flatMap(present -> requestParser.authorize(view.get(), known, present)))
                    .peekLeft(failure -> refuse(exchange, failure))
                    .peek(checked -> RequestReader.readBody(
                            request, settings.bounds().maximumBodyBytes(), bodies, body -> body.flatMap(bytes ->
                                            requestParser.parse(id, checked, headers.get(), bytes, clock.nowNanos()))
                                    .peekLeft(failure -> refuse(exchange, failure))
                                    .peek(event -> submit(id, exchange, event))));
            return true;
        }
    }

    private void submit(RequestId id, HttpExchange exchange, CallEvent event) {
        exchanges.put(id, exchange);
        // The watch starts before the event is offered: the answer may be complete at once, and Jetty then reuses the
        // request's objects for the next request of the connection.
        exchange.watchCaller();
        if (events.offer(event)) {
            exchange.markSubmitted();
        } else {
            removeExchange(id);
            refuse(exchange, Failure.of(ErrorKind.ENTRY_QUEUE_FULL).withRetryAfter(Duration.ofSeconds(1)));
        }
    }

    private void refuse(HttpExchange exchange, Failure failure) {
        metrics.counter(failure.kind().metricName()).inc();
        exchange.fail(failure);
    }

    private void answerHealthCheck(HttpExchange exchange) {
        BoardView current = view.get();
        if (!(current.drainPhase() instanceof DrainPhase.Serving)) {
            exchange.fail(Failure.of(ErrorKind.DRAINING));
        } else if (current.sheet().isEmpty()) {
            exchange.fail(Failure.of(ErrorKind.CONFIGURATION_MISSING));
        } else {
            exchange.answer(200, Content.of("text/plain", "ok\n".getBytes(StandardCharsets.UTF_8)));
        }
    }
}
