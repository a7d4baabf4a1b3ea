package org.plantainwharf.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * A stand-in for an order and stock service. It counts the executions of each idempotency key and does not deduplicate
 * them itself, so that tests can detect a repeated order. Thread-safe.
 */
public final class StandInService implements AutoCloseable {
    private static final long GRACEFUL_STOP_TIMEOUT_MILLIS = 20_000;

    private final StandInOptions options;
    private final Set<String> routes;
    private final long serviceMillis;
    private final long incarnation = System.currentTimeMillis();
    private final StandInHttpServer http;
    private final Announcer announcer;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Set<String> runningRequests = ConcurrentHashMap.newKeySet();
    private final AtomicInteger running = new AtomicInteger();
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "service"));
    private volatile boolean leaving;

    private StandInService(OptionSet set, Runnable halt) {
        options = StandInOptions.of(set);
        routes = new TreeSet<>(StandInOptions.texts(set, "routes"));
        serviceMillis = StandInOptions.number(set, "service-millis");
        Map<String, Consumer<StandInExchange>> endpoints = new LinkedHashMap<>();
        endpoints.put("POST /call/", this::call);
        endpoints.put("GET /v1/load", this::load);
        endpoints.put("GET /runs", this::runs);
        http = StandInHttpServer.start(options.port(), endpoints, halt);
        announcer = Announcer.start(options.operators(), this::announcement);
    }

    /** Runs a stand-in until the process receives a termination signal. Returns the exit status. */
    public static int run(String[] arguments) {
        OptionSet set;
        try {
            set = parser().parse(arguments);
        } catch (OptionException e) {
            System.err.println("stand-in-service: " + e.getMessage());
            return 2;
        }
        StandInService service =
                new StandInService(set, () -> Runtime.getRuntime().halt(137));
        System.out.println("stand-in-service " + service.options.server() + " on " + service.address());
        return StandInProcess.runUntilTerminated(service::stopGracefully);
    }

    /**
     * Starts a stand-in within this process.
     *
     * @param halt task that a crash fault runs in place of halting the process
     */
    public static StandInService start(Runnable halt, String... arguments) {
        return new StandInService(parser().parse(arguments), halt);
    }

    private static OptionParser parser() {
        OptionParser parser = new OptionParser();
        StandInOptions.addTo(parser);
        parser.accepts("routes", "routes that the service provides")
                .withRequiredArg()
                .withValuesSeparatedBy(',')
                .defaultsTo("order", "stock");
        parser.accepts("service-millis", "time to process a call")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(5);
        return parser;
    }

    /** Returns the listen address as IP address and port. */
    public String address() {
        return http.address();
    }

    void setFault(StandInFault fault) {
        http.setFault(fault);
    }

    /** Returns the number of executions with an idempotency key. */
    public int runsOf(String key) {
        return runs.getOrDefault(key, 0);
    }

    /** Announces that this server is leaving, waits up to 20 s for its calls to finish, and stops. */
    public void stopGracefully() {
        leaving = true;
        announcer.announce();
        StandInProcess.awaitIdle(() -> running.get() == 0, GRACEFUL_STOP_TIMEOUT_MILLIS);
        close();
    }

    @Override
    public void close() {
        announcer.close();
        executor.shutdownNow();
        http.stop();
    }

    private void call(StandInExchange exchange) {
        StandInFault fault = http.fault();
        boolean wrongIdentity = fault instanceof StandInFault.Crossed;
        String route = exchange.pathAfter("/call/");
        if (leaving || fault instanceof StandInFault.Refuse || running.get() >= options.slots()) {
            exchange.echo(wrongIdentity).refuse(leaving);
            return;
        }
        if (!routes.contains(route)) {
            exchange.echo(wrongIdentity).reply(404, StandInExchange.newObject().put("error", "no such route"));
            return;
        }
        String request = exchange.header("X-Request-Id");
        int run = runs.merge(exchange.header("Idempotency-Key"), 1, Integer::sum);
        running.incrementAndGet();
        runningRequests.add(request);
        try {
            executor.schedule(() -> answer(exchange, route, run, wrongIdentity), delay(fault), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            exchange.closeConnection();
        }
    }

    private long delay(StandInFault fault) {
        if (fault instanceof StandInFault.Slow slow) {
            return (long) (serviceMillis * slow.factor());
        }
        return fault instanceof StandInFault.Late late ? serviceMillis + late.millis() : serviceMillis;
    }

    private void answer(StandInExchange exchange, String route, int run, boolean wrongIdentity) {
        boolean silenced = http.isSilenced(exchange);
        boolean claimsRunning = http.fault() instanceof StandInFault.Silent silent && silent.claimsRunning();
        if (silenced && claimsRunning) {
            return;
        }
        running.decrementAndGet();
        runningRequests.remove(exchange.header("X-Request-Id"));
        if (silenced) {
            return;
        }
        if (http.fault() instanceof StandInFault.LoseAnswer) {
            exchange.closeConnection();
            return;
        }
        ObjectNode answer = StandInExchange.newObject()
                .put("server", options.server())
                .put("route", route)
                .put("run", run)
                .put("echo", exchange.bodyText());
        exchange.echo(wrongIdentity);
        if (http.fault() instanceof StandInFault.Truncated) {
            exchange.replyTruncated(
                    "application/json", answer.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        } else {
            exchange.reply(200, answer);
        }
    }

    private void load(StandInExchange exchange) {
        exchange.reply(
                200,
                StandInExchange.newObject()
                        .put("running", running.get())
                        .put("queued", 0)
                        .put("slots", options.slots())
                        .put("request_running", runningRequests.contains(exchange.parameter("request"))));
    }

    private void runs(StandInExchange exchange) {
        ObjectNode answer = StandInExchange.newObject();
        new TreeMap<>(runs).forEach(answer::put);
        exchange.reply(200, answer);
    }

    private ObjectNode announcement() {
        ObjectNode body = StandInProcess.announcement(options, incarnation, address(), leaving, running.get(), 0)
                .put("kind", "plain-service");
        routes.forEach(body.putArray("routes")::add);
        return body;
    }
}
