package org.plantainwharf.standin;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.plantainwharf.front.PrefixBlocks;

/**
 * A stand-in for a model engine. It generates the tokens {@code t0 t1 t2 ...}, so that every answer can be verified, and
 * implements the engine interface described on the design page. Thread-safe.
 */
public final class StandInEngine implements AutoCloseable {
    private static final int BYTES_PER_TOKEN = 4;
    private static final long GRACEFUL_STOP_TIMEOUT_MILLIS = 20_000;

    private final StandInOptions options;
    private final boolean checksFencing;
    private final boolean movesCache;
    private final long incarnation = System.currentTimeMillis();
    private final AtomicLong requestCount = new AtomicLong();
    private final StandInHttpServer http;
    private final EngineCache cache;
    private final EngineScheduler scheduler;
    private final Announcer announcer;
    private volatile Set<String> models;
    private volatile boolean leaving;
    private long highestFencingNumber;

    private StandInEngine(OptionSet set, Runnable halt) {
        options = StandInOptions.of(set);
        checksFencing = Boolean.parseBoolean(StandInOptions.text(set, "checks-fencing"));
        movesCache = Boolean.parseBoolean(StandInOptions.text(set, "moves-cache"));
        models = new TreeSet<>(StandInOptions.texts(set, "models"));
        cache = EngineCache.create(
                StandInOptions.number(set, "cache-blocks"),
                StandInOptions.number(set, "cache-lag-millis"),
                StandInOptions.number(set, "cache-gap"),
                System::currentTimeMillis);
        http = StandInHttpServer.start(options.port(), endpoints(), halt);
        scheduler = EngineScheduler.create(
                http,
                cache,
                new EngineScheduler.EngineSpeed(
                        options.slots(),
                        StandInOptions.number(set, "token-millis"),
                        Math.max(1, StandInOptions.number(set, "prefill-tokens-per-milli"))));
        announcer = Announcer.start(options.operators(), this::announcement);
    }

    /** Runs a stand-in until the process receives a termination signal. Returns the exit status. */
    public static int run(String[] arguments) {
        OptionSet set;
        try {
            set = parser().parse(arguments);
        } catch (OptionException e) {
            System.err.println("stand-in-engine: " + e.getMessage());
            return 2;
        }
        StandInEngine engine = new StandInEngine(set, () -> Runtime.getRuntime().halt(137));
        System.out.println("stand-in-engine " + engine.options.server() + " on " + engine.address());
        return StandInProcess.runUntilTerminated(engine::stopGracefully);
    }

    /**
     * Starts a stand-in within this process.
     *
     * @param halt task that a crash fault runs in place of halting the process
     */
    public static StandInEngine start(Runnable halt, String... arguments) {
        return new StandInEngine(parser().parse(arguments), halt);
    }

    private static OptionParser parser() {
        OptionParser parser = new OptionParser();
        StandInOptions.addTo(parser);
        addNumberOption(parser, "token-millis", "time to generate a token", 10);
        addNumberOption(parser, "prefill-tokens-per-milli", "prompt tokens processed per millisecond", 10);
        addNumberOption(parser, "cache-blocks", "capacity of the prefix cache in blocks", 4_096);
        addNumberOption(parser, "cache-lag-millis", "age at which cache events are published", 0);
        addNumberOption(parser, "cache-gap", "drop events whose sequence number is a multiple of this, 0 for none", 0);
        parser.accepts("models", "models loaded at startup")
                .withRequiredArg()
                .withValuesSeparatedBy(',')
                .defaultsTo("small");
        parser.accepts("checks-fencing", "reject orders with an outdated fencing number")
                .withRequiredArg()
                .defaultsTo("true");
        parser.accepts("moves-cache", "support export and import of the KV cache")
                .withRequiredArg()
                .defaultsTo("true");
        return parser;
    }

    private static void addNumberOption(OptionParser parser, String name, String description, int value) {
        parser.accepts(name, description)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(value);
    }

    /** Returns the listen address as IP address and port. */
    public String address() {
        return http.address();
    }

    void setFault(StandInFault fault) {
        http.setFault(fault);
    }

    /** Announces that this server is leaving, waits up to 20 s for its requests to finish, and stops. */
    public void stopGracefully() {
        leaving = true;
        announcer.announce();
        StandInProcess.awaitIdle(
                () -> scheduler.runningCount() + scheduler.waitingCount() == 0, GRACEFUL_STOP_TIMEOUT_MILLIS);
        close();
    }

    @Override
    public void close() {
        announcer.close();
        scheduler.stop();
        http.stop();
    }

    private Map<String, Consumer<StandInExchange>> endpoints() {
        Map<String, Consumer<StandInExchange>> endpoints = new LinkedHashMap<>();
        endpoints.put("POST /v1/chat/completions", this::chat);
        endpoints.put("POST /v1/cancel", this::cancel);
        endpoints.put("GET /v1/load", exchange -> scheduler.load(exchange));
        endpoints.put("GET /v1/cache-events", this::cacheEvents);
        endpoints.put("POST /v1/orders", this::applyOrder);
        endpoints.put("GET /v1/orders", exchange -> exchange.reply(200, orders()));
        endpoints.put("POST /v1/kv/export", this::exportCache);
        endpoints.put("POST /v1/kv/import", this::importCache);
        return endpoints;
    }

    private void chat(StandInExchange exchange) {
        JsonNode body = exchange.json();
        String model = body.path("model").asText();
        boolean wrongIdentity = http.fault() instanceof StandInFault.Crossed;
        if (leaving || http.fault() instanceof StandInFault.Refuse) {
            exchange.echo(wrongIdentity).refuse(leaving);
            return;
        }
        if (!models.contains(model)) {
            exchange.echo(wrongIdentity).refuse(false);
            return;
        }
        byte[] prompt = PrefixBlocks.encodePrompt(body.path("messages"));
        EngineRequest.Task task = new EngineRequest.Task(
                model,
                Math.max(1, prompt.length / BYTES_PER_TOKEN),
                PrefixBlocks.hashes(prompt),
                body.path("max_tokens").asInt(32),
                EngineRequest.parseNumber(exchange.header("X-Resume-Tokens")));
        scheduler.submit(EngineRequest.create(exchange, requestCount.incrementAndGet(), task, wrongIdentity));
    }

    private void cancel(StandInExchange exchange) {
        scheduler.cancel(exchange.header("X-Request-Id"), exchange.header("X-Attempt"));
        exchange.reply(200, StandInExchange.newObject().put("cancelled", true));
    }

    private void cacheEvents(StandInExchange exchange) {
        exchange.reply(200, cache.events(EngineRequest.parseNumber(exchange.parameter("after")), incarnation));
    }

    private void applyOrder(StandInExchange exchange) {
        JsonNode body = exchange.json();
        boolean accepted;
        synchronized (this) {
            long number = body.path("fencing").asLong();
            accepted = !checksFencing || number >= highestFencingNumber;
            if (accepted) {
                highestFencingNumber = number;
                Set<String> ordered = new TreeSet<>();
                body.path("models").forEach(model -> ordered.add(model.asText()));
                models = ordered;
            }
        }
        exchange.reply(accepted ? 200 : 409, orders());
    }

    private synchronized ObjectNode orders() {
        ObjectNode answer = StandInExchange.newObject().put("fencing", highestFencingNumber);
        models.forEach(answer.putArray("models")::add);
        return answer;
    }

    /** Replies with a handle that encodes the block hashes, so that any stand-in can import it. Clients treat it as opaque. */
    private void exportCache(StandInExchange exchange) {
        byte[] prompt = PrefixBlocks.encodePrompt(exchange.json().path("messages"));
        String blocks =
                PrefixBlocks.hashes(prompt).stream().map(String::valueOf).collect(Collectors.joining(","));
        String handle = Base64.getUrlEncoder().encodeToString(blocks.getBytes(StandardCharsets.UTF_8));
        if (movesCache) {
            exchange.reply(200, StandInExchange.newObject().put("handle", handle));
        } else {
            exchange.reply(404, StandInExchange.newObject().put("error", "cache is not moved"));
        }
    }

    private void importCache(StandInExchange exchange) {
        String blocks = new String(
                Base64.getUrlDecoder().decode(exchange.json().path("handle").asText()), StandardCharsets.UTF_8);
        List<Long> hashes = Arrays.stream(blocks.split(","))
                .filter(text -> !text.isEmpty())
                .map(Long::valueOf)
                .toList();
        cache.store(hashes);
        exchange.reply(200, StandInExchange.newObject().put("imported", hashes.size()));
    }

    private ObjectNode announcement() {
        ObjectNode body = StandInProcess.announcement(
                        options, incarnation, address(), leaving, scheduler.runningCount(), scheduler.waitingCount())
                .put("kind", "model-engine")
                .put("checksFencing", checksFencing)
                .put("movesCache", movesCache);
        models.forEach(body.putArray("models")::add);
        return body;
    }
}
