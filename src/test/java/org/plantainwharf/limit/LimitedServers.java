package org.plantainwharf.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;

import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.Failure;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.forward.LoadReport;
import org.plantainwharf.forward.ServerStatus;
import org.plantainwharf.identity.ServerId;

/**
 * Servers that name the requests per second that they accept from all daemons together, in front of an
 * {@link AllowanceFleet}. Counts the requests that reach each server as the users do: those of a daemon count from half
 * a second after it first passed on an answer with a limit. Used by one thread.
 */
final class LimitedServers {
    /** Time from the first answer with a limit to the first window that counts. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long LEARNING_MILLIS = 500;
    private static final long WINDOW_MILLIS = 4_000;
    private static final double TOLERANCE_FACTOR = 1.5;
    private static final double TOLERANCE_REQUESTS = 5;
    private static final long STEP_MILLIS = 50;

    private final AllowanceFleet fleet;
    private final Random random;
    private final Map<ServerId, TreeMap<Long, Double>> limits = new HashMap<>();
    private final Map<ServerId, Long> firstNamedMillis = new HashMap<>();
    private final Map<String, Long> learnedMillis = new HashMap<>();
    private final Map<ServerId, List<Long>> countedArrivals = new HashMap<>();
    private final List<Failure> refusals = new ArrayList<>();
    private double refusedShare;
    private int arrivals;

    private LimitedServers(AllowanceFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
    }

    static LimitedServers create(AllowanceFleet fleet, long seed) {
        return new LimitedServers(fleet, seed);
    }

    /** Sets the limit that a server names from now on; none if it is infinite. */
    void setLimit(int server, double requestsPerSecond) {
        limits.computeIfAbsent(ServerId.of("i-" + server), id -> new TreeMap<>())
                .put(fleet.nowMillis(), requestsPerSecond);
    }

    /** Makes servers refuse a share of the requests before running them. */
    void setRefusedShare(double share) {
        refusedShare = share;
    }

    /** Forgets what a daemon has passed on, as its process was replaced. */
    void forgetDaemon(int entry) {
        learnedMillis.keySet().removeIf(key -> key.startsWith(entry + "/"));
    }

    /** Advances the clock while callers send requests at the given rates, one rate for each entry daemon. */
    void runTraffic(long millis, double... requestsPerSecond) {
        for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            for (int entry = 0; entry < requestsPerSecond.length; entry++) {
                double expected = requestsPerSecond[entry] * STEP_MILLIS / 1_000;
                int count = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
                for (int index = 0; index < count; index++) {
                    send(entry);
                }
            }
            fleet.advance(STEP_MILLIS);
        }
    }

    private void send(int entry) {
        List<Effect> effects = fleet.arriveForEffects(entry, 1);
        Optional<ForwardEffect.StartForward> start = started(effects);
        while (start.isPresent()) {
            effects = serve(entry, start.get());
            start = started(effects);
        }
        effects.stream()
                .filter(ForwardEffect.RefuseForward.class::isInstance)
                .map(ForwardEffect.RefuseForward.class::cast)
                .forEach(refuse -> refusals.add(refuse.failure()));
    }

    private static Optional<ForwardEffect.StartForward> started(List<Effect> effects) {
        return effects.stream()
                .filter(ForwardEffect.StartForward.class::isInstance)
                .map(ForwardEffect.StartForward.class::cast)
                .findFirst();
    }

    private List<Effect> serve(int entry, ForwardEffect.StartForward start) {
        ServerId server = start.server();
        long now = fleet.nowMillis();
        arrivals++;
        OptionalDouble limit = limitAt(server, now);
        String key = entry + "/" + server;
        Long learned = learnedMillis.get(key);
        if (learned != null && now - learned >= LEARNING_MILLIS) {
            countedArrivals.computeIfAbsent(server, id -> new ArrayList<>()).add(now);
        }
        if (limit.isPresent()) {
            learnedMillis.putIfAbsent(key, now);
            firstNamedMillis.putIfAbsent(server, now);
        }
        ForwardOutcome outcome = random.nextDouble() < refusedShare
                ? new ForwardOutcome.Refused(503, OptionalLong.empty())
                : new ForwardOutcome.Completed(false);
        return fleet.end(entry, start, outcome, Optional.of(new ServerStatus(new LoadReport.Absent(), limit)));
    }

    private OptionalDouble limitAt(ServerId server, long millis) {
        Map.Entry<Long, Double> entry =
                limits.getOrDefault(server, new TreeMap<>()).floorEntry(millis);
        return entry == null || entry.getValue().isInfinite()
                ? OptionalDouble.empty()
                : OptionalDouble.of(entry.getValue());
    }

    /** Returns by how many requests the limits allow fewer than some server got in its worst window; negative if none. */
    double worstExcess() {
        double worst = Double.NEGATIVE_INFINITY;
        for (Map.Entry<ServerId, List<Long>> entry : countedArrivals.entrySet()) {
            long from = firstNamedMillis.getOrDefault(entry.getKey(), 0L) + CONTACT_MILLIS;
            for (long start : entry.getValue()) {
                if (start >= from) {
                    long count = entry.getValue().stream()
                            .filter(arrival -> arrival >= start && arrival < start + WINDOW_MILLIS)
                            .count();
                    worst = Math.max(worst, count - allowed(entry.getKey(), start));
                }
            }
        }
        return worst;
    }

    private double allowed(ServerId server, long startMillis) {
        double requests = 0;
        for (long millis = startMillis; millis < startMillis + WINDOW_MILLIS; millis += STEP_MILLIS) {
            requests += limitAt(server, millis).orElse(Double.POSITIVE_INFINITY) * STEP_MILLIS / 1_000;
        }
        return TOLERANCE_FACTOR * requests + TOLERANCE_REQUESTS;
    }

    /** Returns the requests that reached any server so far. */
    int arrivals() {
        return arrivals;
    }

    /** Returns the answers that were refused by daemons. */
    List<Failure> refusals() {
        return refusals;
    }
}
