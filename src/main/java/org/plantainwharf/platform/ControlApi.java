package org.plantainwharf.platform;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.Counter;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.call.Content;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.daemon.ControlFrontend;
import org.plantainwharf.document.DocumentCodec;
import org.plantainwharf.effect.DocumentEffect;
import org.plantainwharf.effect.RegistryEffect;
import org.plantainwharf.effect.RolloutEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.DocumentEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.RegistryEvent;
import org.plantainwharf.event.RolloutEvent;
import org.plantainwharf.front.BodyBudget;
import org.plantainwharf.front.HttpListener;
import org.plantainwharf.front.LibraryAnswers;
import org.plantainwharf.front.RequestReader;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.log.LogSink;
import org.plantainwharf.metric.Telemetry;
import org.plantainwharf.settings.Settings;

/**
 * HTTP API of a control daemon: heartbeats and deregistrations of backend servers, and operators' calls on the service
 * document and on rollouts. Thread-safe.
 */
final class ControlApi implements ControlFrontend {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String JSON_MEDIA_TYPE = "application/json";

    /** Largest service document accepted; one of the planned size has some thousand routes. */
    private static final int MAXIMUM_BODY_BYTES = 4 << 20;

    /** Largest order of a rollout accepted; a valid one is far smaller. */
    private static final int MAXIMUM_ORDER_BYTES = 64 << 10;

    /**
     * Documents above this size, or of unknown size, are read and decoded one at a time: decoding takes many times the
     * memory of the text. Others meanwhile are told to go to another daemon.
     */
    private static final int LARGE_DOCUMENT_BYTES = 256 << 10;

    /** Share of the heap for bodies; decoding and the log need most of it. */
    private static final double BODY_HEAP_SHARE = 0.1;

    private final BodyBudget bodies = BodyBudget.ofHeap(Clock.system(), BODY_HEAP_SHARE);
    private final Semaphore largeDocuments = new Semaphore(1);
    private final Settings settings;
    private final DocumentCodec codec;
    private final EventSink events;
    private final LogSink log;
    private final List<Counter> invalidOrders;
    private final HttpListener listener;
    private final AtomicLong lastTicket = new AtomicLong();
    private final Map<Long, PendingCall> pendingCalls = new ConcurrentHashMap<>();

    /** An HTTP exchange that waits for its response. */
    private record PendingCall(Response response, Callback callback) {}

    private ControlApi(Settings settings, DocumentCodec codec, EventSink events, Telemetry telemetry) {
        this.settings = settings;
        this.codec = codec;
        this.events = events;
        this.log = telemetry.log();
        this.invalidOrders = List.of(
                telemetry.metrics().counter("rollout.orders_invalid"),
                telemetry.metrics().counter(ErrorKind.ROLLOUT_INVALID.metricName()));
        this.listener = HttpListener.create(
                "control-api",
                settings.operatorAddress(),
                false,
                settings.bounds(),
                new RequestHandler(),
                LibraryAnswers.create("control-api", telemetry));
    }

    static ControlApi create(Settings settings, DocumentCodec codec, EventSink events, Telemetry telemetry) {
        return new ControlApi(settings, codec, events, telemetry);
    }

    @Override
    public void start() {
        listener.start();
    }

    /** Returns the port, which the operating system chose if the settings say 0. */
    int port() {
        return listener.port();
    }

    @Override
    public void stop() {
        try {
            listener.stop();
        } catch (Exception e) {
            log.write("control_api_stop_failed", "problem", String.valueOf(e));
        }
    }

    @Override
    public void execute(RegistryEffect effect) {
        switch (effect) {
            case RegistryEffect.AnswerServer response ->
                respond(response.ticket(), response.acknowledged() ? 200 : 503, "{}".getBytes(StandardCharsets.UTF_8));
        }
    }

    @Override
    public void execute(DocumentEffect effect) {
        switch (effect) {
            case DocumentEffect.AcknowledgeDocument acknowledged ->
                respond(
                        acknowledged.ticket(),
                        200,
                        ("{\"version\":" + acknowledged.version() + "}").getBytes(StandardCharsets.UTF_8));
            case DocumentEffect.ReturnDocument document ->
                respond(
                        document.ticket(),
                        document.content().length() == 0 ? 404 : 200,
                        document.content().bytes());
            case DocumentEffect.RefuseDocument refused ->
                respond(refused.ticket(), 503, "{}".getBytes(StandardCharsets.UTF_8));
            case DocumentEffect.ApplyCallerBounds bounds -> log.write("effect_misdirected", "family", "document");
        }
    }

    @Override
    public void execute(RolloutEffect effect) {
        switch (effect) {
            case RolloutEffect.AcknowledgeOrder acknowledged ->
                respond(acknowledged.ticket(), 200, RolloutCalls.acknowledgement(acknowledged.rollout()));
            case RolloutEffect.ReturnRollout returned ->
                respond(returned.ticket(), 200, RolloutCalls.state(returned.rollout()));
            case RolloutEffect.RefuseRollout refused ->
                respond(refused.ticket(), refused.failure().kind().httpStatus(), errorBody(refused.failure()));
        }
    }

    private void respond(long ticket, int status, byte[] body) {
        @Nullable PendingCall call = pendingCalls.remove(ticket);
        if (call != null) {
            sendResponse(call.response(), call.callback(), status, body);
        }
    }

    private static void sendResponse(Response response, Callback callback, int status, byte[] body) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON_MEDIA_TYPE);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    private final class RequestHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            if (!isLargeDocument(request)) {
                readAndRoute(request, response, callback);
            } else if (largeDocuments.tryAcquire()) {
                readAndRoute(request, response, releasing(callback));
            } else {
                log.write("large_document_turned_away", "bytes", request.getLength());
                sendResponse(response, callback, 503, "{}".getBytes(StandardCharsets.UTF_8));
            }
            return true;
        }

        private Callback releasing(Callback callback) {
            return new Callback.Nested(callback) {
                @Override
                public void completed() {
                    largeDocuments.release();
                }
            };
        }
    }

    private static boolean isLargeDocument(Request request) {
        return WireNames.REPLACE_DOCUMENT_PATH.equals(request.getHttpURI().getDecodedPath())
                && (request.getLength() < 0 || request.getLength() > LARGE_DOCUMENT_BYTES);
    }

    private static int maximumBodyBytes(Request request) {
        return WireNames.BEGIN_ROLLOUT_PATH.equals(request.getHttpURI().getDecodedPath())
                ? MAXIMUM_ORDER_BYTES
                : MAXIMUM_BODY_BYTES;
    }

    private void readAndRoute(Request request, Response response, Callback callback) {
        RequestReader.readBody(request, maximumBodyBytes(request), bodies, read -> read.peek(
                        body -> route(request, response, callback, body))
                .peekLeft(failure -> sendError(response, callback, failure)));
    }

    private void route(Request request, Response response, Callback callback, byte[] body) {
        @Nullable String decoded = request.getHttpURI().getDecodedPath();
        String path = decoded == null ? "" : decoded;
        boolean isPost = request.getMethod().equals("POST");
        if (isPost && path.startsWith(WireNames.HEARTBEAT_PREFIX)) {
            String server = path.substring(WireNames.HEARTBEAT_PREFIX.length());
            HeartbeatReader.read(server, body)
                    .peek(report ->
                            submit(response, callback, ticket -> new RegistryEvent.ServerReported(ticket, report)))
                    .peekLeft(failure -> {
                        log.write("report_ignored", "server", server, "problem", failure.message());
                        sendError(response, callback, failure);
                    });
        } else if (isPost && path.startsWith(WireNames.DEREGISTER_PREFIX)) {
            String server = path.substring(WireNames.DEREGISTER_PREFIX.length());
            submit(
                    response,
                    callback,
                    ticket -> new RegistryEvent.ServerDeregistered(
                            ticket,
                            ServerId.of(server.isBlank() ? "none" : server),
                            HeartbeatReader.startEpochMillis(body)));
        } else if (isPost && path.equals(WireNames.REPLACE_DOCUMENT_PATH)) {
            replaceDocument(response, callback, Content.of(JSON_MEDIA_TYPE, body));
        } else if (request.getMethod().equals("GET") && path.equals(WireNames.READ_DOCUMENT_PATH)) {
            submit(response, callback, DocumentEvent.DocumentRequested::new);
        } else if (path.equals(WireNames.BEGIN_ROLLOUT_PATH) || isRolloutRead(request)) {
            routeRollout(request, response, callback, body);
        } else {
            sendError(response, callback, Failure.of(ErrorKind.UNKNOWN_ROUTE, FieldReader.abbreviate(path)));
        }
    }

    private static boolean isRolloutRead(Request request) {
        return rawPath(request).startsWith(WireNames.READ_ROLLOUT_PREFIX);
    }

    /** Returns the path as it was sent: a decoded path does not tell which slashes and semicolons belong to a name. */
    private static String rawPath(Request request) {
        @Nullable String path = request.getHttpURI().getPath();
        return path == null ? "" : path;
    }

    private void routeRollout(Request request, Response response, Callback callback, byte[] body) {
        String method = request.getMethod();
        if (isRolloutRead(request) && method.equals("GET")) {
            RolloutReader.readService(rawPath(request).substring(WireNames.READ_ROLLOUT_PREFIX.length()))
                    .peek(service ->
                            submit(response, callback, ticket -> new RolloutEvent.RolloutRequested(ticket, service)))
                    .peekLeft(failure -> sendError(response, callback, failure));
        } else if (!isRolloutRead(request) && method.equals("POST")) {
            RolloutReader.readOrder(body)
                    .peek(order -> submit(
                            response,
                            callback,
                            ticket -> new RolloutEvent.RolloutOrdered(
                                    ticket, order.service(), order.target(), order.durationMillis())))
                    .peekLeft(failure -> {
                        invalidOrders.forEach(Counter::inc);
                        log.write("rollout_refused", "kind", failure.kind().code(), "message", failure.message());
                        sendError(response, callback, failure);
                    });
        } else {
            sendError(response, callback, Failure.of(ErrorKind.METHOD_NOT_ALLOWED, method));
        }
    }

    private void replaceDocument(Response response, Callback callback, Content content) {
        codec.decode(content)
                .peek(document -> submit(
                        response, callback, ticket -> new DocumentEvent.DocumentSubmitted(ticket, document, content)))
                .peekLeft(failure -> {
                    log.write("document_refused", "problem", failure.message());
                    sendError(response, callback, failure);
                });
    }

    /** Passes a call to the control thread, or responds with status 503 if its event queue is full. */
    private void submit(Response response, Callback callback, java.util.function.LongFunction<Event> eventFactory) {
        long ticket = lastTicket.incrementAndGet();
        pendingCalls.put(ticket, new PendingCall(response, callback));
        if (!events.offer(eventFactory.apply(ticket))) {
            Failure failure = Failure.of(ErrorKind.ENTRY_QUEUE_FULL);
            respond(ticket, failure.kind().httpStatus(), errorBody(failure));
        }
    }

    private static void sendError(Response response, Callback callback, Failure failure) {
        sendResponse(response, callback, failure.kind().httpStatus(), errorBody(failure));
    }

    private static byte[] errorBody(Failure failure) {
        return JSON.createObjectNode()
                .put("error", failure.message())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }
}
