package org.plantainwharf.front;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;
import com.google.common.flogger.FluentLogger;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.backend.ForwardExchange;
import org.plantainwharf.board.BoardView;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.document.CallerBounds;
import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.forward.ForwardHead;
import org.plantainwharf.forward.PromptShape;
import org.plantainwharf.http.EndToEndHeaders;
import org.plantainwharf.http.ForwardDialect;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.log.LogSink;
import org.plantainwharf.metric.Telemetry;
import org.plantainwharf.record.Digests;

/**
 * The HTTP server for HTTP/1.1 requests that are forwarded unchanged to backend servers, and for the readiness check of
 * a load balancer. {@link CallerFrontend} serves the project's own API instead. Every request gets exactly one answer.
 *
 * <p>Thread-safe. {@link #execute} does not block; answers are written on threads of the executor and of the HTTP
 * server.
 */
public final class ForwardingFrontend {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Number of latest samples in each histogram, which cover about one minute at 20 requests per second. */
    private static final int HISTOGRAM_SAMPLES = 1_024;

    /** Share of the heap for bodies, which are kept until their requests have ended. */
    private static final double BODY_HEAP_SHARE = 0.5;

    /** Heads are kept in memory without a budget, and the HTTP client passes on none above 1 MiB. */
    private static final int MAXIMUM_HEADER_BYTES = 512 << 10;

    private static final Duration QUEUE_FULL_RETRY_AFTER = Duration.ofMillis(200);

    private final ForwardDialect dialect;
    private final ListenAddresses addresses;
    private final Clock clock;
    private final BodyBudget bodies;
    private final Supplier<BoardView> view;
    private final EventSink events;
    private final MetricRegistry metrics;
    private final Executor executor;
    private final LogSink log;
    private final Map<Long, ForwardedCall> calls = new ConcurrentHashMap<>();
    private final AtomicLong lastTicket = new AtomicLong();
    private final Histogram firstByteMillis;
    private final Histogram totalMillis;
    private final HttpListener callerListener;
    private final HttpListener readinessListener;
    /** Limits of the document in force; null before the first document. */
    private volatile @Nullable CallerBounds documentBounds;

    private ForwardingFrontend(
            ForwardDialect dialect,
            ListenAddresses addresses,
            Clock clock,
            Supplier<BoardView> view,
            EventSink events,
            Telemetry telemetry,
            Executor executor) {
        this.dialect = dialect;
        this.addresses = addresses;
        this.clock = clock;
        this.bodies = BodyBudget.ofHeap(clock, BODY_HEAP_SHARE);
        this.view = view;
        this.events = events;
        this.metrics = telemetry.metrics();
        this.log = telemetry.log();
        this.executor = executor;
        this.firstByteMillis = metrics.histogram("forward.first_byte_millis", ForwardingFrontend::histogram);
        this.totalMillis = metrics.histogram("forward.total_millis", ForwardingFrontend::histogram);
        this.callerListener = HttpListener.create(
                "callers",
                addresses.callerAddress(),
                false,
                addresses.bounds(),
                new ForwardHandler(),
                LibraryAnswers.create("callers", dialect.requestId(), telemetry));
        callerListener.setHeaderLimit(
                new HeaderLimit.Provisional(addresses.bounds().maximumHeaderBytes()));
        this.readinessListener = HttpListener.create(
                "readiness",
                addresses.readinessAddress(),
                false,
                addresses.bounds(),
                new ReadinessHandler(addresses.readinessPath()),
                LibraryAnswers.create("readiness", telemetry));
    }

    /**
     * Returns a server that does not listen yet.
     *
     * @param view supplies the latest published view of the board
     * @param telemetry receives what the control thread does not see
     * @param executor executes effects, so that they do not block the control thread
     */
    public static ForwardingFrontend create(
            ForwardDialect dialect,
            ListenAddresses addresses,
            Clock clock,
            Supplier<BoardView> view,
            EventSink events,
            Telemetry telemetry,
            Executor executor) {
        return new ForwardingFrontend(dialect, addresses, clock, view, events, telemetry, executor);
    }

    /** Uses a fixed-size reservoir, which costs one array slot per request; a decaying one would cost a sorted map. */
    private static Histogram histogram() {
        return new Histogram(new SlidingWindowReservoir(HISTOGRAM_SAMPLES));
    }

    /**
     * Starts listening.
     *
     * @throws IllegalStateException if an address cannot be bound
     */
    public void start() {
        readinessListener.start();
        callerListener.start();
    }

    /** Returns the bound port for callers, which the operating system chose if port 0 was configured. */
    public int port() {
        return callerListener.port();
    }

    /** Returns the bound port of the readiness check. */
    public int readinessPort() {
        return readinessListener.port();
    }

    /** Returns the number of requests whose answer is not complete. */
    public int openCalls() {
        return calls.size();
    }

    /** Returns a request whose answer is not complete, or nothing if the ticket is unknown. */
    public Optional<? extends ForwardExchange> call(long ticket) {
        return Optional.ofNullable(calls.get(ticket));
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        try {
            callerListener.stop();
            readinessListener.stop();
        } catch (Exception e) {
            LOGGER.atWarning().withCause(e).log("event=forward_front_stop_failed");
        }
    }

    /**
     * Applies the limits of a document: the body size to requests, the others to connections that are opened from now on.
     * Heads may always be as long as the settings allow.
     */
    public void apply(CallerBounds newBounds) {
        documentBounds = newBounds;
        callerListener.setHeaderLimit(new HeaderLimit.InForce(Math.max(
                Math.min(newBounds.maximumHeaderBytes(), MAXIMUM_HEADER_BYTES),
                addresses.bounds().maximumHeaderBytes())));
        callerListener.setIdleTimeoutMillis(newBounds.idleTimeoutMillis());
    }

    /** Ends the answer of a request. An effect for a request that is no longer open is ignored. */
    public void execute(ForwardEffect effect) {
        executor.execute(() -> {
            @Nullable ForwardedCall call = calls.get(effect.ticket());
            if (call == null) {
                return;
            }
            switch (effect) {
                case ForwardEffect.RefuseForward refuse -> call.refuse(refuse.failure());
                case ForwardEffect.PassFailure pass -> call.sendHeldFailure();
                case ForwardEffect.BreakForward broken -> call.refuse(broken.failure());
                // Attempts are started and cancelled elsewhere; such an effect is a programming error and only counted.
                case ForwardEffect.StartForward start ->
                    metrics.counter("front.misdirected_effects").inc();
                case ForwardEffect.CancelForward cancel ->
                    metrics.counter("front.misdirected_effects").inc();
                case ForwardEffect.ProbeServer probe ->
                    metrics.counter("front.misdirected_effects").inc();
                case ForwardEffect.CheckConnection check ->
                    metrics.counter("front.misdirected_effects").inc();
                case ForwardEffect.HandOver handOver ->
                    metrics.counter("front.misdirected_effects").inc();
            }
        });
    }

    private long millisSince(long sinceNanos) {
        return (clock.nowNanos() - sinceNanos) / 1_000_000;
    }

    private boolean isDraining() {
        return !(view.get().drainPhase() instanceof DrainPhase.Serving);
    }

    private final class ForwardHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            metrics.counter("front.requests").inc();
            // The HTTP client cannot send such a target, which would look like a failure of each server in turn.
            if (!RequestReader.hasValidEscapes(request.getHttpURI().getPathQuery())) {
                refuse(
                        new HttpTransaction(request, response, callback),
                        Failure.of(ErrorKind.REQUEST_INVALID, "the target has an invalid percent escape"));
                return true;
            }
            @Nullable CallerBounds known = documentBounds;
            int maximumBytes = (known == null ? CallerBounds.defaults() : known).maximumBodyBytes();
            RequestReader.readBody(request, maximumBytes, bodies, read -> read.peek(
                            body -> submit(new HttpTransaction(request, response, callback), body))
                    .peekLeft(failure -> refuse(
                            new HttpTransaction(request, response, callback),
                            known == null ? beforeDocument(failure) : failure)));
            return true;
        }

        /** The first document may allow larger bodies than the limit that holds until then. */
        private Failure beforeDocument(Failure failure) {
            return failure.kind() == ErrorKind.BODY_TOO_LARGE ? Failure.of(ErrorKind.CONFIGURATION_MISSING) : failure;
        }
    }

    private void submit(HttpTransaction transaction, byte[] body) {
        Request request = transaction.request();
        long arrivedNanos = clock.nowNanos();
        long ticket = lastTicket.incrementAndGet();
        HttpFields fields = request.getHeaders();
        String id = Optional.ofNullable(fields.get(dialect.requestId())).orElse("");
        ForwardedCall call = call(ticket, id, transaction, body, arrivedNanos);
        calls.put(ticket, call);
        // The watch starts before the event is offered: the answer may be complete at once, and Jetty then reuses the
        // request's objects for the next request of the connection.
        call.watchCaller();
        if (!call.isOpen()) {
            metrics.counter("front.callers_gone").inc();
            return;
        }
        if (events.offer(new ForwardEvent.ForwardArrived(ticket, head(id, request, body), arrivedNanos))) {
            call.markSubmitted();
        } else {
            call.refuse(Failure.of(ErrorKind.ENTRY_QUEUE_FULL).withRetryAfter(QUEUE_FULL_RETRY_AFTER));
        }
    }

    private ForwardedCall call(long ticket, String id, HttpTransaction transaction, byte[] body, long arrivedNanos) {
        List<HttpField> forwardedHeaders = new ArrayList<>();
        for (HttpField field : EndToEndHeaders.of(transaction.request().getHeaders())) {
            boolean withheld = dialect.reservedHeaders().contains(field.getLowerCaseName())
                    || field.is("Authorization")
                    || field.is("Content-Length");
            if (!withheld) {
                forwardedHeaders.add(field);
            }
        }
        return new ForwardedCall(
                id,
                transaction,
                forwardedHeaders,
                body,
                isDraining(),
                new ForwardedCall.Callbacks(
                        () -> firstByteMillis.update(millisSince(arrivedNanos)),
                        status -> recordHeadDiscarded(id, status),
                        () -> {
                            calls.remove(ticket);
                            totalMillis.update(millisSince(arrivedNanos));
                        },
                        (marker, reason) -> recordBrokenOff(id, marker, reason),
                        () -> events.post(new ForwardEvent.ForwardLeft(ticket))));
    }

    private void recordHeadDiscarded(String id, int status) {
        metrics.counter("front.heads_discarded").inc();
        log.write("answer_head_discarded", "request", ExternalText.sanitize(id), "status", status);
    }

    private void recordBrokenOff(String id, EndMarker marker, String reason) {
        metrics.counter("front.answers_broken_off").inc();
        metrics.counter("front.answers_broken_off." + marker.code()).inc();
        log.write(
                "answer_broken_off",
                "request",
                ExternalText.sanitize(id),
                "end_marker",
                marker.code(),
                "reason",
                reason);
    }

    private void refuse(HttpTransaction transaction, Failure failure) {
        metrics.counter(failure.kind().metricName()).inc();
        String id = Optional.ofNullable(transaction.request().getHeaders().get(dialect.requestId()))
                .orElse("");
        log.write(
                "request_refused",
                "request",
                ExternalText.sanitize(id),
                "kind",
                failure.kind().code(),
                "message",
                failure.message(),
                "cause",
                BodyReader.cause(transaction.request())
                        .map(LibraryAnswers::describe)
                        .orElse(""),
                "body_bytes",
                Request.getContentBytesRead(transaction.request()));
        new ForwardedCall(id, transaction, List.of(), new byte[0], true, ForwardedCall.Callbacks.none())
                .refuse(failure);
    }

    private ForwardHead head(String id, Request request, byte[] body) {
        HttpFields fields = request.getHeaders();
        @Nullable String host = fields.get(HttpHeader.HOST);
        @Nullable String path = request.getHttpURI().getPath();
        return ForwardHead.of(
                        id,
                        host == null ? "" : hostName(host),
                        path == null ? "" : path,
                        key(fields),
                        number(fields.get(dialect.deadline())),
                        prompt(fields),
                        content(request, body))
                .takingUp(takeUp(fields))
                .handedOver(fields.contains(dialect.handedOver()));
    }

    private Optional<ForwardHead.TakeUp> takeUp(HttpFields fields) {
        Optional<String> firstAttempt = Optional.ofNullable(fields.get(dialect.resumes()))
                .map(String::strip)
                .filter(id -> !id.isEmpty());
        boolean hasEvents = firstAttempt.isPresent() || fields.contains("Last-Event-Id");
        return hasEvents ? Optional.of(new ForwardHead.TakeUp(firstAttempt)) : Optional.empty();
    }

    /** Returns the digest of everything that a caller repeats when it sends a request again: path, key and body. */
    private static Fingerprint content(Request request, byte[] body) {
        MessageDigest digest = Digests.newDigest();
        for (String text : List.of(
                String.valueOf(request.getHttpURI().getPathQuery()),
                String.valueOf(request.getHeaders().get(HttpHeader.AUTHORIZATION)))) {
            digest.update(text.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
        }
        return Fingerprint.of(HexFormat.of().formatHex(digest.digest(body)));
    }

    private static String hostName(String host) {
        int colon = host.indexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private Optional<String> key(HttpFields fields) {
        String scheme = dialect.authorizationScheme() + " ";
        return Optional.ofNullable(fields.get(HttpHeader.AUTHORIZATION))
                .filter(value -> value.regionMatches(true, 0, scheme, 0, scheme.length()))
                .map(value -> value.substring(scheme.length()).strip());
    }

    private static OptionalLong number(@Nullable String text) {
        if (text == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(text.strip()));
        } catch (NumberFormatException e) {
            // A malformed number is treated as absent; without a deadline, the time limit of the route applies.
            return OptionalLong.empty();
        }
    }

    private Optional<PromptShape> prompt(HttpFields fields) {
        @Nullable String counts = fields.get(dialect.tokenCounts());
        if (counts == null) {
            return Optional.empty();
        }
        String[] numbers = counts.split(",", -1);
        if (numbers.length != 2) {
            return Optional.empty();
        }
        OptionalLong input = number(numbers[0]);
        OptionalLong output = number(numbers[1]);
        if (input.isEmpty() || output.isEmpty()) {
            return Optional.empty();
        }
        String model = Optional.ofNullable(fields.get(dialect.model())).orElse("");
        return Optional.of(new PromptShape(
                model, input.getAsLong(), output.getAsLong(), parts(fields.get(dialect.promptParts()))));
    }

    /** Parses the parts of a prompt up to the first malformed one. They only guide the choice of a server. */
    private static List<PromptShape.Part> parts(@Nullable String text) {
        List<PromptShape.Part> parts = new ArrayList<>();
        if (text == null) {
            return parts;
        }
        for (String entry : text.split(",", -1)) {
            int colon = entry.indexOf(':');
            OptionalLong tokens = colon < 0 ? OptionalLong.empty() : number(entry.substring(colon + 1));
            if (tokens.isEmpty()) {
                break;
            }
            parts.add(new PromptShape.Part(entry.substring(0, colon).strip(), tokens.getAsLong()));
        }
        return parts;
    }

    /** Returns whether a load balancer should open new connections to this daemon. */
    private boolean isReady() {
        BoardView present = view.get();
        return present.documentInForce() && present.serversKnown() && !isDraining();
    }

    private final class ReadinessHandler extends Handler.Abstract {
        private final String path;

        ReadinessHandler(String path) {
            this.path = path;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            boolean pathMatches = path.equals(request.getHttpURI().getPath());
            response.setStatus(!pathMatches ? 404 : isReady() ? 200 : 503);
            callback.succeeded();
            return true;
        }
    }
}
