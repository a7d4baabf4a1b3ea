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
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.origin.OriginAnswer;
import org.plantainwharf.origin.StreamOrigin;
import org.plantainwharf.registry.ServerPhase;

/**
 * Servers of several software versions that crash, reset connections and refuse at random, in front of the forward
 * controller on a virtual clock. Keeps which version sent each event. Used by one thread.
 */
final class VersionedFleet {
    private static final int SERVERS = 9;
    private static final int MAXIMUM_VERSIONS = 4;
    private static final int MAXIMUM_REQUESTS = 8;
    private static final long STEP_MILLIS = 20;
    private static final long REPORT_MILLIS = 500;

    private final Random random;
    private final ForwardHarness harness;
    private final List<ServerVersion> versions = new ArrayList<>();
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<Long, Stream> streams = new LinkedHashMap<>();
    private final Map<Long, Caller> callers = new HashMap<>();
    /** Origins as the controller knew them when the first event was passed on, by the request. */
    private final Map<String, StreamOrigin> origins = new HashMap<>();

    private final List<Scheduled> scheduled = new ArrayList<>();
    private final List<String> joined = new ArrayList<>();
    private boolean arriving = true;
    private int continued;
    private int takenUp;
    private int brokenOff;
    private int refused;
    private int completed;

    /** One server and its present start. */
    private static final class Server {
        private final String id;
        private long start = 1;
        private ServerVersion version;
        private long downUntilMillis;
        private boolean down;

        private Server(String id, ServerVersion version) {
            this.id = id;
            this.version = version;
        }
    }

    /** A caller and what it has received of its stream, over all its requests. */
    private static final class Caller {
        private Optional<String> firstAttempt = Optional.empty();
        private Optional<ServerVersion> firstVersion = Optional.empty();
        private int events;
        private int requests;
    }

    /** Something that happens later. */
    private record Scheduled(long atMillis, Runnable action) {}

    /** An attempt to answer one request. */
    private static final class Stream {
        private final Caller caller;
        private final ForwardEffect.StartForward attempt;
        private final Server server;
        private boolean answerBegan;
        private boolean eventsOfAttempt;

        private Stream(Caller caller, ForwardEffect.StartForward attempt, Server server) {
            this.caller = caller;
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
                request(new Caller());
            }
            runScheduled();
            apply(harness.tick());
            if (random.nextInt(20) == 0) {
                crash(server("i-" + (1 + random.nextInt(SERVERS))));
            }
            List.copyOf(streams.values()).forEach(this::advance);
        }
    }

    private void schedule(long delayMillis, Runnable action) {
        scheduled.add(new Scheduled(nowMillis() + delayMillis, action));
    }

    private void runScheduled() {
        for (Scheduled due : List.copyOf(scheduled)) {
            if (due.atMillis() <= nowMillis()) {
                scheduled.remove(due);
                due.action().run();
            }
        }
    }

    /** Sends a request, or takes the caller's stream up if it has events. */
    private void request(Caller caller) {
        caller.requests++;
        callers.put(harness.nextTicket(), caller);
        String path = "/resume/x";
        if (caller.events == 0) {
            apply(harness.arrive(path, Optional.of(ForwardHarness.KEY), 4_000));
            return;
        }
        takenUp++;
        apply(harness.takeUp(path, caller.firstAttempt, 4_000));
        harness.takeOriginRequest()
                .ifPresent(requested -> schedule(
                        random.nextInt(200),
                        () -> apply(harness.decideOrigin(requested.ticket(), answer(requested.firstAttempt())))));
    }

    private OriginAnswer answer(Optional<String> firstAttempt) {
        return firstAttempt
                .flatMap(attempt -> Optional.ofNullable(origins.get(attempt)))
                .filter(origin -> random.nextInt(8) > 0)
                .map(origin -> (OriginAnswer) new OriginAnswer.Known(origin, OriginAnswer.Basis.RECORD))
                .orElseGet(OriginAnswer.Unknown::new);
    }

    /** The caller tries again some times, unless no server is left that can go on. */
    private void endRequest(long ticket, boolean mayTryAgain) {
        Caller caller = Objects.requireNonNull(callers.remove(ticket));
        if (mayTryAgain && caller.requests < MAXIMUM_REQUESTS) {
            schedule(100 + random.nextInt(400), () -> request(caller));
        }
    }

    /** Ends the arrivals and lets every request end. */
    void stopArrivals() {
        arriving = false;
        run(500);
    }

    /**
     * Ends a server and its streams. It is back at its address later as another start, mostly with another version, and
     * reports itself at once.
     */
    private void crash(Server server) {
        if (server.down) {
            return;
        }
        server.start++;
        server.version = randomVersion();
        server.down = true;
        server.downUntilMillis = nowMillis() + 200 + random.nextInt(2_000);
        for (Stream stream : List.copyOf(streams.values())) {
            // A request whose connection is not open yet reaches the next start.
            if (stream.server == server && (stream.answerBegan || random.nextBoolean())) {
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
        } else if (stream.caller.events > 40) {
            completed++;
            callers.remove(stream.attempt.ticket());
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
            apply(harness.startAnswer(stream.attempt));
        }
    }

    private void sendEvent(Stream stream) {
        if (!stream.eventsOfAttempt) {
            stream.eventsOfAttempt = true;
            harness.run(new ForwardEvent.StreamBegan(stream.attempt.ticket(), stream.attempt.attempt()));
            if (stream.caller.events > 0) {
                continued++;
            }
        }
        Caller caller = stream.caller;
        ServerVersion version = stream.server.version;
        if (caller.events == 0) {
            String id = "id-" + stream.attempt.ticket();
            caller.firstAttempt = Optional.of(id);
            caller.firstVersion = Optional.of(version);
            harness.board()
                    .forward()
                    .call(stream.attempt.ticket())
                    .flatMap(ForwardCall::origin)
                    .ifPresent(origin -> origins.put(id, origin));
        }
        caller.events++;
        ServerVersion first = caller.firstVersion.orElseThrow();
        if (!first.equals(version)) {
            joined.add("request " + stream.attempt.ticket() + " from " + first + " to " + version);
        }
    }

    private void end(Stream stream, ForwardOutcome outcome) {
        streams.remove(stream.attempt.ticket());
        apply(harness.endAttempt(stream.attempt, outcome));
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
                case ForwardEffect.BreakForward broken -> {
                    brokenOff++;
                    endRequest(broken.ticket(), true);
                }
                case ForwardEffect.RefuseForward refuse -> {
                    refused++;
                    endRequest(refuse.ticket(), refuse.failure().kind() != ErrorKind.STREAM_VERSION_GONE);
                }
                case ForwardEffect.PassFailure failure -> {}
                case ForwardEffect.ProbeServer probe -> {}
                case ForwardEffect.CheckConnection check -> {}
                case ForwardEffect.HandOver handOver -> throw new AssertionError("no other entry daemon is known");
            }
        }
    }

    private void start(ForwardEffect.StartForward start) {
        Caller caller = Objects.requireNonNull(callers.get(start.ticket()));
        streams.put(
                start.ticket(), new Stream(caller, start, server(start.server().value())));
    }

    List<String> joinedStreams() {
        return joined;
    }

    int takenUpStreams() {
        return takenUp;
    }

    int continuedStreams() {
        return continued;
    }

    int liveCalls() {
        return harness.liveCalls();
    }

    @Override
    public String toString() {
        return "taken up " + takenUp + ", continued " + continued + ", broken off " + brokenOff + ", refused " + refused
                + ", completed " + completed;
    }
}
