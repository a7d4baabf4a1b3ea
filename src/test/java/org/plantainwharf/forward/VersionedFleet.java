package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

import org.plantainwharf.document.Repeatability;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.registry.ServerPhase;

/**
 * Servers of several software versions that crash, reset connections and refuse at random, in front of the forward
 * controller on a virtual clock. Keeps which version sent each event. Used by one thread.
 */
final class VersionedFleet {
    private static final int SERVERS = 9;
    private static final int MAXIMUM_VERSIONS = 4;
    private static final long STEP_MILLIS = 20;
    private static final long REPORT_MILLIS = 500;

    private final Random random;
    private final ForwardHarness harness;
    private final List<ServerVersion> versions = new ArrayList<>();
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<Long, Stream> streams = new LinkedHashMap<>();
    /** Attempts that have just ended, whose streams may go on. */
    private final Map<Long, Stream> ended = new HashMap<>();

    private final List<String> joined = new ArrayList<>();
    private boolean arriving = true;
    private int continued;
    private int brokenOff;
    private int refused;
    private int completed;

    /** One server and its present start. */
    private static final class Server {
        private final String id;
        private long start = 1;
        private final ServerVersion version;
        private long downUntilMillis;
        private boolean down;

        private Server(String id, ServerVersion version) {
            this.id = id;
            this.version = version;
        }
    }

    /** The answer to one request, as its caller receives it. */
    private static final class Stream {
        private final ForwardEffect.StartForward attempt;
        private final Server server;
        private Optional<ServerVersion> firstVersion = Optional.empty();
        private boolean answerBegan;
        private boolean eventsOfAttempt;
        private int events;

        private Stream(ForwardEffect.StartForward attempt, Server server) {
            this.attempt = attempt;
            this.server = server;
        }
    }

    private VersionedFleet(long seed) {
        random = new Random(seed);
        harness = new ForwardHarness(
                List.of(ForwardHarness.route("/resume/", Repeatability.STREAM, 5, true)), 1_000_000_000);
        harness.applyDocument();
        int stated = 2 + random.nextInt(MAXIMUM_VERSIONS - 1);
        for (int version = 0; version < stated; version++) {
            versions.add(ServerVersion.of("v" + version));
        }
        versions.add(ServerVersion.unstated());
        versions.forEach(harness::listVersion);
        for (int server = 1; server <= SERVERS; server++) {
            servers.put("i-" + server, new Server("i-" + server, randomVersion()));
        }
    }

    /** Returns a fleet of two to four stated versions and servers that state none. */
    static VersionedFleet create(long seed) {
        return new VersionedFleet(seed);
    }

    private Server server(String id) {
        return Objects.requireNonNull(servers.get(id));
    }

    private ServerVersion randomVersion() {
        return versions.get(random.nextInt(versions.size()));
    }

    private long nowMillis() {
        return harness.nowNanos() / 1_000_000;
    }

    /** Advances the clock by a number of steps while requests arrive. */
    void run(int steps) {
        for (int step = 0; step < steps; step++) {
            harness.advance(STEP_MILLIS);
            boolean reportsAreDue = step * STEP_MILLIS % REPORT_MILLIS == 0;
            for (Server server : servers.values()) {
                boolean restarted = server.down && server.downUntilMillis <= nowMillis();
                server.down &= !restarted;
                if (restarted || reportsAreDue && !server.down) {
                    harness.reportServer(server.id, server.start, ServerPhase.READY, server.version);
                }
            }
            if (arriving && random.nextInt(3) == 0) {
                apply(harness.arrive("/resume/" + step, Optional.of(ForwardHarness.KEY), 4_000));
            }
            apply(harness.tick());
            if (random.nextInt(20) == 0) {
                crash(server("i-" + (1 + random.nextInt(SERVERS))));
            }
            List.copyOf(streams.values()).forEach(this::advance);
        }
    }

    /** Ends the arrivals and lets every request end. */
    void stopArrivals() {
        arriving = false;
        run(500);
    }

    /** Ends a server and its streams. It is back at its address later as another start, and reports itself at once. */
    private void crash(Server server) {
        if (server.down) {
            return;
        }
        server.start++;
        server.down = true;
        server.downUntilMillis = nowMillis() + 200 + random.nextInt(2_000);
        for (Stream stream : List.copyOf(streams.values())) {
            if (stream.server == server) {
                end(stream, new ForwardOutcome.Broken(stream.answerBegan, true, "reset"));
            }
        }
    }

    private void advance(Stream stream) {
        if (streams.get(stream.attempt.ticket()) != stream) {
            return;
        }
        if (!stream.answerBegan) {
            begin(stream);
            return;
        }
        int chance = random.nextInt(100);
        if (chance < 6) {
            end(stream, new ForwardOutcome.Broken(true, true, chance < 3 ? "reset" : "stream ended within an event"));
        } else if (stream.events > 40) {
            completed++;
            end(stream, new ForwardOutcome.Completed(false));
        } else if (chance < 60) {
            sendEvent(stream);
        }
    }

    private void begin(Stream stream) {
        if (stream.server.down) {
            end(stream, new ForwardOutcome.NotSent(true, "connect refused"));
        } else if (random.nextInt(20) == 0) {
            end(stream, new ForwardOutcome.Refused(503, OptionalLong.of(50)));
        } else {
            stream.answerBegan = true;
            harness.startAnswer(stream.attempt);
        }
    }

    private void sendEvent(Stream stream) {
        if (!stream.eventsOfAttempt) {
            stream.eventsOfAttempt = true;
            harness.run(new ForwardEvent.StreamBegan(stream.attempt.ticket(), stream.attempt.attempt()));
            if (stream.firstVersion.isPresent()) {
                continued++;
            }
        }
        stream.events++;
        ServerVersion version = stream.server.version;
        ServerVersion first = stream.firstVersion.orElse(version);
        stream.firstVersion = Optional.of(first);
        if (!first.equals(version)) {
            joined.add("request " + stream.attempt.ticket() + " from " + first + " to " + version);
        }
    }

    private void end(Stream stream, ForwardOutcome outcome) {
        streams.remove(stream.attempt.ticket());
        ended.put(stream.attempt.ticket(), stream);
        apply(harness.endAttempt(stream.attempt, outcome));
        ended.remove(stream.attempt.ticket());
    }

    private void apply(List<ForwardEffect> effects) {
        for (ForwardEffect effect : effects) {
            switch (effect) {
                case ForwardEffect.StartForward start -> start(start);
                case ForwardEffect.CancelForward cancel -> {
                    Stream stream = streams.get(cancel.ticket());
                    if (stream != null) {
                        end(stream, new ForwardOutcome.Cancelled(0, false));
                    }
                }
                case ForwardEffect.BreakForward broken -> brokenOff++;
                case ForwardEffect.RefuseForward refuse -> refused++;
                case ForwardEffect.PassFailure failure -> {}
                case ForwardEffect.ProbeServer probe -> {}
            }
        }
    }

    private void start(ForwardEffect.StartForward start) {
        Stream next = new Stream(start, server(start.server().value()));
        Stream previous = ended.get(start.ticket());
        if (previous != null) {
            next.firstVersion = previous.firstVersion;
            next.events = previous.events;
        }
        streams.put(start.ticket(), next);
    }

    List<String> joinedStreams() {
        return joined;
    }

    int continuedStreams() {
        return continued;
    }

    int liveCalls() {
        return harness.liveCalls();
    }

    @Override
    public String toString() {
        return "continued " + continued + ", broken off " + brokenOff + ", refused " + refused + ", completed "
                + completed;
    }
}
