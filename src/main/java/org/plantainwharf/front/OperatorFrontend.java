package org.plantainwharf.front;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.BoardView;
import org.plantainwharf.call.Content;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.OperatorEffect;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.OperatorEvent;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.log.EventLog;
import org.plantainwharf.metric.Telemetry;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.sheet.Sheet;

/**
 * The HTTP server for operators, announcements of backend servers and notices of the platform. A request that is
 * decided by the control thread gets a ticket, and the effect with this ticket answers it. Without such an effect it
 * fails after a time-out.
 *
 * <p>Thread-safe. The {@code execute} methods do not block; answers are written on threads of this class and of the
 * HTTP server.
 */
public final class OperatorFrontend {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final long OPERATOR_TIMEOUT_MILLIS = 10_000;
    private static final long ANNOUNCEMENT_TIMEOUT_MILLIS = 2_000;
    private static final String JSON_TYPE = "application/json";

    /** Share of the heap for the bodies of unfinished requests. */
    private static final double BODY_HEAP_SHARE = 0.1;

    private final BodyBudget bodies = BodyBudget.ofHeap(Clock.system(), BODY_HEAP_SHARE);
    private final Settings settings;
    private final Supplier<BoardView> view;
    private final Supplier<String> status;
    private final Function<byte[], Either<Failure, Sheet>> sheetParser;
    private final EventSink events;
    private final MetricRegistry metrics;
    private final AtomicLong lastTicket = new AtomicLong();
    private final Map<Long, PendingRequest> pendingRequests = new ConcurrentHashMap<>();
    private final ExecutorService answerExecutor =
            Executors.newSingleThreadExecutor(task -> new Thread(task, "operator-answers"));
    private final HttpListener listener;

    private record PendingRequest(HttpExchange exchange, Scheduler.Task timeout) {}

    private OperatorFrontend(
            Settings settings,
            Supplier<BoardView> view,
            Supplier<String> status,
            Function<byte[], Either<Failure, Sheet>> sheetParser,
            EventSink events,
            MetricRegistry metrics) {
        this.settings = settings;
        this.view = view;
        this.status = status;
        this.sheetParser = sheetParser;
        this.events = events;
        this.metrics = metrics;
        this.listener = HttpListener.create(
                "operators",
                settings.operatorAddress(),
                false,
                settings.bounds(),
                new OperatorHandler(),
                LibraryAnswers.create("operators", new Telemetry(metrics, EventLog.of(LOGGER)::info)));
    }

    /**
     * Returns a server that does not listen yet.
     *
     * @param view supplies the latest published view of the board
     * @param status supplies the status of the daemon as JSON
     * @param sheetParser parses a sheet in CSV
     */
    public static OperatorFrontend create(
            Settings settings,
            Supplier<BoardView> view,
            Supplier<String> status,
            Function<byte[], Either<Failure, Sheet>> sheetParser,
            EventSink events,
            MetricRegistry metrics) {
        return new OperatorFrontend(settings, view, status, sheetParser, events, metrics);
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

    /** Stops listening and closes all connections. */
    public void stop() {
        try {
            listener.stop();
        } catch (Exception e) {
            LOGGER.atWarning().withCause(e).log("event=operator_front_stop_failed");
        }
        answerExecutor.shutdown();
    }

    /** Answers an operator. */
    public void execute(OperatorEffect effect) {
        switch (effect) {
            case OperatorEffect.AnswerOperator answer ->
                answerPending(answer.ticket(), exchange -> answer.answer()
                        .peek(text -> exchange.answer(200, plain(text)))
                        .peekLeft(exchange::fail));
        }
    }

    /** Answers an announcement with the token that the server returns in its next one. */
    public void execute(ServerEffect.AnswerAnnouncement answer) {
        answerPending(answer.ticket(), exchange -> exchange.answer(200, json("{\"token\":" + answer.token() + "}")));
    }

    private void answerPending(long ticket, Consumer<HttpExchange> answer) {
        try {
            answerExecutor.execute(() -> {
                @Nullable PendingRequest waiting = pendingRequests.remove(ticket);
                if (waiting == null) {
                    metrics.counter("front.answers_without_operator").inc();
                    return;
                }
                waiting.timeout().cancel();
                answer.accept(waiting.exchange());
            });
        } catch (RejectedExecutionException e) {
            metrics.counter("front.answers_after_stop").inc();
        }
    }

    /**
     * Offers an event to the control thread; the effect with the ticket answers the exchange. If there is none within
     * the time-out, the answer is NO_QUORUM, although the event may still take effect later.
     */
    private void submit(HttpExchange exchange, long ticket, Event event, long timeoutMillis) {
        Scheduler.Task timeout = listener.server()
                .getScheduler()
                .schedule(
                        () -> answerPending(ticket, late -> refuse(late, Failure.of(ErrorKind.NO_QUORUM))),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        pendingRequests.put(ticket, new PendingRequest(exchange, timeout));
        if (!events.offer(event)) {
            answerPending(ticket, full -> refuse(full, Failure.of(ErrorKind.ENTRY_QUEUE_FULL)));
        }
    }

    private void refuse(HttpExchange exchange, Failure failure) {
        metrics.counter(failure.kind().metricName()).inc();
        exchange.fail(failure);
    }

    private static Content plain(String text) {
        return Content.of("text/plain; charset=utf-8", (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private static Content json(String text) {
        return Content.of(JSON_TYPE, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Handles requests on threads of the HTTP server. */
    private final class OperatorHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            RequestId id = RequestId.of(UUID.randomUUID().toString());
            HttpExchange exchange = HttpExchange.create(id, request, response, callback, () -> {}, () -> {});
            String path = String.valueOf(request.getHttpURI().getDecodedPath());
            String method = request.getMethod();
            switch (path) {
                case "/admin/status" -> get(method, exchange, () -> json(status.get()));
                case "/admin/metrics" -> get(method, exchange, OperatorFrontend.this::metricsText);
                case "/admin/sheet" -> sheet(request, method, exchange);
                case "/admin/drain" ->
                    post(request, method, exchange, body -> {
                        long ticket = lastTicket.incrementAndGet();
                        submit(exchange, ticket, new OperatorEvent.DrainRequested(ticket), OPERATOR_TIMEOUT_MILLIS);
                    });
                case "/servers/announce" ->
                    postJson(request, method, exchange, body -> {
                        long ticket = lastTicket.incrementAndGet();
                        AnnouncementReader.readAnnouncement(body, ticket)
                                .peek(event -> submit(exchange, ticket, event, ANNOUNCEMENT_TIMEOUT_MILLIS))
                                .peekLeft(failure -> refuse(exchange, failure));
                    });
                case "/platform/notice" ->
                    postJson(request, method, exchange, body -> AnnouncementReader.readNotice(body)
                            .peek(event -> {
                                events.post(event);
                                exchange.answer(202, json("{\"noted\":true}"));
                            })
                            .peekLeft(failure -> refuse(exchange, failure)));
                default -> refuse(exchange, Failure.of(ErrorKind.UNKNOWN_ROUTE, ExternalText.sanitize(path)));
            }
            return true;
        }
    }

    private Content metricsText() {
        return Content.of(
                PrometheusText.MEDIA_TYPE, PrometheusText.format(metrics).getBytes(StandardCharsets.UTF_8));
    }

    private void sheet(Request request, String method, HttpExchange exchange) {
        if (method.equals("GET")) {
            view.get()
                    .sheet()
                    .ifPresentOrElse(
                            present -> exchange.answer(
                                    200, json(SheetBody.toJson(present).toString())),
                            () -> refuse(exchange, Failure.of(ErrorKind.CONFIGURATION_MISSING)));
            return;
        }
        post(request, method, exchange, body -> sheetParser
                .apply(body)
                .peek(parsed -> {
                    long ticket = lastTicket.incrementAndGet();
                    submit(exchange, ticket, new OperatorEvent.SheetSubmitted(ticket, parsed), OPERATOR_TIMEOUT_MILLIS);
                })
                .peekLeft(failure -> refuse(exchange, failure)));
    }

    private void get(String method, HttpExchange exchange, Supplier<Content> answer) {
        if (method.equals("GET")) {
            exchange.answer(200, answer.get());
        } else {
            refuse(exchange, Failure.of(ErrorKind.METHOD_NOT_ALLOWED, ExternalText.sanitize(method)));
        }
    }

    private void post(Request request, String method, HttpExchange exchange, Consumer<byte[]> onBody) {
        if (!method.equals("POST")) {
            refuse(exchange, Failure.of(ErrorKind.METHOD_NOT_ALLOWED, ExternalText.sanitize(method)));
            return;
        }
        RequestReader.readBody(request, settings.bounds().maximumBodyBytes(), bodies, body -> body.peek(onBody)
                .peekLeft(failure -> refuse(exchange, failure)));
    }

    private void postJson(Request request, String method, HttpExchange exchange, Consumer<JsonNode> onBody) {
        post(request, method, exchange, bytes -> {
            JsonNode body;
            try {
                body = JSON.readTree(bytes);
            } catch (JsonProcessingException e) {
                refuse(exchange, Failure.of(ErrorKind.MALFORMED_JSON, ExternalText.sanitize(e.getOriginalMessage())));
                return;
            } catch (java.io.IOException e) {
                refuse(exchange, Failure.of(ErrorKind.MALFORMED_JSON, "not encoded in UTF-8"));
                return;
            }
            onBody.accept(body);
        });
    }
}
