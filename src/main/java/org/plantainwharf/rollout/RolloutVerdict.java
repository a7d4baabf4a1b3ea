package org.plantainwharf.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import org.plantainwharf.identity.RouteName;

/**
 * Decides what becomes of a rollout, by the evidence of all daemons. Pure: the same situation gives the same decision.
 *
 * <p>The share grows late. A version may turn bad at any time, and what it got until then must stay within the bound; so
 * it gets the observed share for most of the ordered time, then the load of one of the old servers, then a quarter, and
 * all just in time for the last requests at old versions to end.
 */
public final class RolloutVerdict {
    /** A quarter of the requests shows how the version bears the load on several servers. */
    private static final int LARGE_SHARE_PERMILLE = 250;

    /** Answers of the target that a step of the share needs in all, and since the last step. */
    private static final long MINIMUM_ANSWERS = 12;

    private static final long MINIMUM_ANSWERS_OF_STEP = 8;

    /** Answers of the target that a route needs: a part of those of the others, within bounds. */
    private static final double PART_OF_ROUTE = 0.02;

    private static final long MAXIMUM_ANSWERS_OF_ROUTE = 8;
    private static final long MINIMUM_ANSWERS_OF_ROUTE = 1;
    private static final long ANSWERS_OF_ROUTE_WITH_TRAFFIC = 30;

    /** The evidence of a step arrives within this time, and a verdict on it is in force everywhere. */
    private static final double REACTION_SECONDS = 1;

    /** The same for a step that leaves out the ones before. */
    private static final double LATE_REACTION_SECONDS = 1.5;

    private static final long SHORTEST_STEP_MILLIS = 1_000;

    /** Logarithm of the odds from which on other servers are taken to be like the bad one, or unlike it: 12 to 1. */
    private static final double LIKELY = 2.5;

    /** Servers other than the bad one need so many answers to be taken for good. */
    private static final long MINIMUM_ANSWERS_OF_REST = 3;

    /** The version is condemned by one server before the number of bad answers after which the roll back is timed. */
    private static final long MAXIMUM_BAD_ANSWERS = 40;

    /** The part of the bound that a step may use up; the rest covers delays between daemons. */
    private static final double USED_PART_OF_BOUND = 0.9;

    /** Part of the requests that are expected until the end that counts; traffic may fall. */
    private static final double EXPECTED_PART = 0.5;

    /** Answers are reported about so long after they came. */
    private static final double REPORT_MILLIS = 200;

    /** So many times the usual number of requests without an answer are those of a slow version. */
    private static final double SLOW_PENDING = 3;

    private static final long SHORTEST_RETIREMENT_MILLIS = 2_000;
    private static final long RETIREMENT_OVERHEAD_MILLIS = 1_500;
    private static final double RETIREMENT_PART = 0.15;
    private static final double LONGEST_RETIREMENT_PART = 0.4;
    private static final double LONG_ANSWERS = 0.01;

    /** The verdict is committed and in force everywhere within this time. */
    private static final long COMPLETION_MILLIS = 400;

    private RolloutVerdict() {}

    /**
     * What the decision is based on. Immutable.
     *
     * @param elapsedMillis time since the order
     * @param phaseMillis time since the last step
     * @param whole all evidence
     * @param matched all evidence, that on other versions weighted as {@link EvidenceSlice#addMatched} does
     * @param recent the evidence of the last seconds, over several spans
     * @param sincePhase the evidence since the last step, weighted likewise
     * @param beforePhase the evidence of the seconds before the last step
     * @param complete whether all daemons have had the time to report to this leader
     */
    public record Situation(
            Rollout rollout,
            RolloutBounds bounds,
            long elapsedMillis,
            long phaseMillis,
            EvidenceSlice whole,
            EvidenceSlice matched,
            List<EvidenceSlice> recent,
            EvidenceSlice sincePhase,
            EvidenceSlice beforePhase,
            Traffic traffic,
            boolean complete) {
        /** Copies the list. */
        public Situation {
            recent = List.copyOf(recent);
        }
    }

    /**
     * What reaches the service. Immutable.
     *
     * @param requests requests since the rollout began
     * @param requestsPerSecond rate of late
     * @param sentToTarget attempts at the target version
     * @param sentToTargetSincePhase those since the last step
     * @param readyTargets ready servers of the target
     * @param readyOthers ready servers of other versions
     * @param idleAtOthers whether every daemon has retired the other versions and has nothing running there
     */
    public record Traffic(
            long requests,
            double requestsPerSecond,
            long sentToTarget,
            long sentToTargetSincePhase,
            int readyTargets,
            int readyOthers,
            boolean idleAtOthers) {}

    /** What is done. */
    public sealed interface Decision {
        /** Returns what it stands on, for the operator. */
        String reason();

        /** The rollout stays as it is. */
        record Hold(String reason) implements Decision {}

        /** The rollout moves on. */
        record Advance(RolloutPhase phase, String reason) implements Decision {}

        /** The rollout ends. */
        record Finish(RolloutPhase verdict, String reason) implements Decision {}
    }

    /** What the answers say of the target. */
    private sealed interface Finding {
        record NothingShown() implements Finding {}

        record Bad(String reason) implements Finding {}

        /** Only one server is bad, and it cannot be told yet whether it stands for the others. */
        record OneServer(String server, String reason) implements Finding {}
    }

    /** Returns the decision. */
    public static Decision decide(Situation situation) {
        Finding finding = find(situation);
        return switch (finding) {
            case Finding.Bad bad -> new Decision.Finish(new RolloutPhase.RolledBack(bad.reason()), bad.reason());
            case Finding.NothingShown nothing -> moveOn(situation);
            case Finding.OneServer one -> moveToOtherServers(situation, one);
        };
    }

    private static Finding find(Situation situation) {
        if (situation.rollout().phase() instanceof RolloutPhase.Retiring) {
            // The others' servers run empty, so that their last answers say nothing of the load that the target bears.
            return find(
                    situation.sincePhase(),
                    situation.beforePhase(),
                    VersionComparison.Strictness.condemningByEarlier(),
                    situation);
        }
        List<EvidenceSlice> slices = new ArrayList<>(situation.recent());
        slices.add(situation.matched());
        Finding found = new Finding.NothingShown();
        for (EvidenceSlice slice : slices) {
            Finding next = find(slice, slice, VersionComparison.Strictness.condemning(), situation);
            if (next instanceof Finding.Bad) {
                return next;
            }
            if (next instanceof Finding.OneServer) {
                found = next;
            }
        }
        return found;
    }

    private static Finding find(
            EvidenceSlice target, EvidenceSlice others, VersionComparison.Strictness strictness, Situation situation) {
        Optional<String> worse = VersionComparison.worse(target, others, strictness);
        if (worse.isEmpty()) {
            return new Finding.NothingShown();
        }
        Set<String> servers = target.servers();
        if (servers.size() <= 1 && situation.traffic().readyTargets() <= 1) {
            return new Finding.Bad(worse.get() + "; its only server");
        }
        String worst = worst(target, others, strictness, servers);
        EvidenceSlice rest = target.without(worst);
        boolean alike = VersionComparison.likenessToWorst(rest, target.only(worst), others) >= LIKELY;
        if (alike || VersionComparison.worse(rest, others, strictness).isPresent()) {
            return new Finding.Bad(worse.get() + "; " + servers.size() + " servers");
        }
        if (rest.sum(true).answers() < MINIMUM_ANSWERS_OF_REST && bad(target) >= MAXIMUM_BAD_ANSWERS) {
            return new Finding.Bad(worse.get() + "; other servers have answered nothing");
        }
        return new Finding.OneServer(worst, worse.get());
    }

    private static double bad(EvidenceSlice slice) {
        EvidenceSlice.Counts sum = slice.sum(true);
        return sum.failures() + sum.lost() + sum.refused();
    }

    /** Returns the server without which the target looks best: one without which nothing is shown, or with most failures. */
    private static String worst(
            EvidenceSlice target, EvidenceSlice others, VersionComparison.Strictness strictness, Set<String> servers) {
        List<String> ordered = servers.stream()
                .sorted(Comparator.<String>comparingDouble(server -> -badOf(target, server))
                        .thenComparing(Comparator.comparingDouble(
                                server -> -target.sumOfServer(server).answers()))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
        return ordered.stream()
                .filter(server -> VersionComparison.worse(target.without(server), others, strictness)
                        .isEmpty())
                .findFirst()
                .orElse(ordered.isEmpty() ? "" : ordered.getFirst());
    }

    private static double badOf(EvidenceSlice target, String server) {
        EvidenceSlice.Counts counts = target.sumOfServer(server);
        return counts.failures() + counts.lost() + counts.refused();
    }

    /** A step that changes the share by a thousandth sends it to other servers; these show whether the version is bad. */
    private static Decision moveToOtherServers(Situation situation, Finding.OneServer one) {
        String reason = "server " + one.server() + ": " + one.reason();
        EvidenceSlice rest = situation.sincePhase().without(one.server());
        boolean othersGood = rest.sum(true).answers() >= MINIMUM_ANSWERS_OF_STEP
                && VersionComparison.likenessToWorst(rest, situation.matched().only(one.server()), situation.matched())
                        <= -LIKELY;
        boolean moved = situation.sincePhase().sumOfServer(one.server()).answers()
                < rest.sum(true).answers();
        if (othersGood && moved) {
            return moveOn(situation);
        }
        return switch (situation.rollout().phase()) {
            case RolloutPhase.Observing observing ->
                situation.complete() && situation.phaseMillis() >= SHORTEST_STEP_MILLIS
                        ? new Decision.Advance(
                                new RolloutPhase.Growing((int) Math.max(
                                        1, situation.bounds().exposureShare() / 2 * RolloutPhase.WHOLE_PERMILLE + 1)),
                                reason)
                        : new Decision.Hold(reason);
            case RolloutPhase.Growing growing ->
                situation.complete() && situation.phaseMillis() >= SHORTEST_STEP_MILLIS
                        ? new Decision.Advance(new RolloutPhase.Growing(growing.boundedPermille() + 1), reason)
                        : new Decision.Hold(reason);
            case RolloutPhase.Retiring retiring -> moveOn(situation);
            case RolloutPhase.Completed completed -> new Decision.Hold(reason);
            case RolloutPhase.RolledBack rolledBack -> new Decision.Hold(reason);
        };
    }

    private static Decision moveOn(Situation situation) {
        if (!situation.complete()) {
            return new Decision.Hold("evidence is not complete");
        }
        return switch (situation.rollout().phase()) {
            case RolloutPhase.Observing observing -> grow(situation, 0);
            case RolloutPhase.Growing growing -> grow(situation, growing.boundedPermille());
            case RolloutPhase.Retiring retiring -> complete(situation);
            case RolloutPhase.Completed completed -> new Decision.Hold("completed");
            case RolloutPhase.RolledBack rolledBack -> new Decision.Hold("rolled back");
        };
    }

    private static Decision grow(Situation situation, int permille) {
        long retireMillis = retireMillis(situation);
        Traffic traffic = situation.traffic();
        if (traffic.readyTargets() == 0
                || situation.elapsedMillis() < retireMillis && 2 * traffic.readyTargets() < traffic.readyOthers()) {
            return new Decision.Hold("too few servers of the target are ready: " + traffic.readyTargets());
        }
        Optional<String> lacking = lackingEvidence(situation);
        if (lacking.isPresent()) {
            return new Decision.Hold(lacking.get());
        }
        long duration = situation.rollout().durationMillis();
        Optional<String> doubt = doubt(situation);
        if (doubt.isPresent() && situation.elapsedMillis() >= duration - COMPLETION_MILLIS) {
            String reason = "not shown to be good within the ordered time; " + doubt.get();
            return new Decision.Finish(new RolloutPhase.RolledBack(reason), reason);
        }
        int oneServer = Math.max(
                observedPermille(situation) + 1,
                Math.min(LARGE_SHARE_PERMILLE, RolloutPhase.WHOLE_PERMILLE / (1 + traffic.readyOthers())));
        // Little traffic brings evidence late; then the last step follows at once if the bound allows it.
        boolean late = situation.elapsedMillis() >= retireMillis
                && doubt.isEmpty()
                && fits(situation, RolloutPhase.WHOLE_PERMILLE, LATE_REACTION_SECONDS);
        oneServer -= oneServer % VersionShare.ORDERS;
        if (permille < oneServer && !late) {
            long from = retireMillis - Math.max(3_000, duration / 10);
            return step(situation, withServersOf(permille, oneServer), from, from);
        }
        // The load of one old server brings the evidence that removes a doubt or confirms it; more would cost too much.
        if (doubt.isPresent()) {
            return new Decision.Hold("doubt: " + doubt.get());
        }
        if (permille < LARGE_SHARE_PERMILLE && !late) {
            long from = retireMillis - Math.max(1_500, duration / 30);
            return step(situation, withServersOf(permille, LARGE_SHARE_PERMILLE), from, from);
        }
        return step(situation, RolloutPhase.WHOLE_PERMILLE, retireMillis, duration - reserveMillis(situation));
    }

    /** Returns a share that keeps the order of the servers, whose caches have what the requests need. */
    private static int withServersOf(int permille, int next) {
        int share = next - next % VersionShare.ORDERS + permille % VersionShare.ORDERS;
        return Math.max(permille + 1, share);
    }

    private static boolean fits(Situation situation, int permille, double reactionSeconds) {
        return projected(situation, permille, reactionSeconds) <= bound(situation);
    }

    /** Returns the requests at the target if it turns bad with this share and is rolled back after a time. */
    private static double projected(Situation situation, int permille, double reactionSeconds) {
        Traffic traffic = situation.traffic();
        return traffic.sentToTarget()
                + (double) permille / RolloutPhase.WHOLE_PERMILLE * traffic.requestsPerSecond() * reactionSeconds;
    }

    private static double bound(Situation situation) {
        Traffic traffic = situation.traffic();
        double expected = EXPECTED_PART
                * traffic.requestsPerSecond()
                * Math.max(0, situation.rollout().durationMillis() - situation.elapsedMillis())
                / 1_000.0;
        return USED_PART_OF_BOUND
                * (situation.bounds().exposureShare() * (traffic.requests() + expected)
                        + situation.bounds().exposureSlack());
    }

    private static int observedPermille(Situation situation) {
        return (int) (situation.bounds().exposureShare() / 2 * RolloutPhase.WHOLE_PERMILLE);
    }

    /** Grows the share from a time on if the bound allows it, and from a later time on in any case if that is the last step. */
    private static Decision step(Situation situation, int permille, long fromMillis, long latestMillis) {
        Traffic traffic = situation.traffic();
        double projected = projected(situation, permille, REACTION_SECONDS);
        double bound = bound(situation);
        EvidenceSlice.Counts target = situation.whole().sum(true);
        String figures = String.format(
                Locale.ROOT,
                "after %d ms: %.0f answers of the new version, %.0f bad, %d of %d requests sent there; %.0f with the next step, "
                        + "bound %.0f",
                situation.elapsedMillis(),
                target.answers(),
                bad(situation.whole()),
                traffic.sentToTarget(),
                traffic.requests(),
                projected,
                bound);
        if (situation.elapsedMillis() < fromMillis) {
            return new Decision.Hold("the next step is due after " + fromMillis + " ms; " + figures);
        }
        boolean last = permille == RolloutPhase.WHOLE_PERMILLE && situation.elapsedMillis() >= latestMillis;
        if (projected > bound && !last) {
            return new Decision.Hold("the next step would exceed the bound; " + figures);
        }
        return new Decision.Advance(
                permille == RolloutPhase.WHOLE_PERMILLE
                        ? new RolloutPhase.Retiring()
                        : new RolloutPhase.Growing(permille),
                figures);
    }

    /** Returns which evidence is missing for a larger share; empty if there is enough. */
    private static Optional<String> lackingEvidence(Situation situation) {
        EvidenceSlice whole = situation.whole();
        double answers = whole.sum(true).answers();
        if (answers < MINIMUM_ANSWERS) {
            return Optional.of("too few answers of the target: " + answers);
        }
        double sinceStep = situation.sincePhase().sum(true).answers();
        boolean late = situation.elapsedMillis() >= retireMillis(situation);
        if (situation.phaseMillis() < SHORTEST_STEP_MILLIS
                || sinceStep < (late ? MINIMUM_ANSWERS_OF_REST : MINIMUM_ANSWERS_OF_STEP)) {
            return Optional.of("too few answers of the target since the last step: " + sinceStep);
        }
        for (RouteName route : whole.routes(false)) {
            double others = whole.sum(false, route).answers();
            double needed = others < ANSWERS_OF_ROUTE_WITH_TRAFFIC
                    ? 0
                    : Math.max(MINIMUM_ANSWERS_OF_ROUTE, Math.min(MAXIMUM_ANSWERS_OF_ROUTE, (long)
                            (PART_OF_ROUTE * others)));
            double seen = whole.sum(true, route).answers();
            if (seen < needed) {
                return Optional.of("too few answers of the target on route " + route + ": " + (long) seen);
            }
        }
        return Optional.empty();
    }

    /** Returns what looks worse at the target, since the last step or ever, one server left out if it has several. */
    private static Optional<String> doubt(Situation situation) {
        VersionComparison.Strictness strictness = VersionComparison.Strictness.doubting();
        return doubt(situation.sincePhase(), situation.sincePhase(), strictness)
                .or(() -> doubt(situation.matched(), situation.matched(), strictness));
    }

    private static Optional<String> doubt(
            EvidenceSlice target, EvidenceSlice others, VersionComparison.Strictness strictness) {
        Optional<String> worse = VersionComparison.worse(target, others, strictness);
        if (worse.isEmpty()) {
            return worse;
        }
        EvidenceSlice rest = target.without(worst(target, others, strictness, target.servers()));
        return rest.sum(true).answers() < MINIMUM_ANSWERS_OF_STEP
                ? worse
                : VersionComparison.worse(rest, others, strictness);
    }

    private static Decision complete(Situation situation) {
        long duration = situation.rollout().durationMillis();
        boolean due = situation.elapsedMillis() >= duration - COMPLETION_MILLIS
                && situation.phaseMillis() >= Math.min(SHORTEST_STEP_MILLIS, reserveMillis(situation) / 2);
        boolean idle = situation.traffic().idleAtOthers() && situation.phaseMillis() >= SHORTEST_STEP_MILLIS;
        Optional<String> doubt = doubtWhileRetiring(situation);
        if (doubt.isPresent()) {
            String reason = "not shown to be good within the ordered time; " + doubt.get();
            return due
                    ? new Decision.Finish(new RolloutPhase.RolledBack(reason), reason)
                    : new Decision.Hold("doubt: " + doubt.get());
        }
        String figures = String.format(
                Locale.ROOT,
                "after %d ms: %.0f answers of the new version, %.0f bad; %s",
                situation.elapsedMillis(),
                situation.whole().sum(true).answers(),
                bad(situation.whole()),
                situation.traffic().idleAtOthers()
                        ? "nothing runs at other versions"
                        : "requests still run at other versions");
        if (situation.traffic().readyTargets() == 0) {
            return new Decision.Hold("no server of the target is ready; " + figures);
        }
        return idle || due ? new Decision.Finish(new RolloutPhase.Completed(), figures) : new Decision.Hold(figures);
    }

    /** Returns what looks worse while all requests go to the target: its answers, or that they do not come. */
    private static Optional<String> doubtWhileRetiring(Situation situation) {
        double[] durations = situation.beforePhase().sum(false).durations();
        double longMillis = AnswerTimes.upperMillis(Math.max(0, AnswerTimes.medianBucket(durations)));
        double pending = situation.traffic().sentToTargetSincePhase()
                - situation.sincePhase().sum(true).answers();
        double usual = situation.traffic().requestsPerSecond() * (longMillis + REPORT_MILLIS) / 1_000;
        if (pending > SLOW_PENDING * usual + MINIMUM_ANSWERS) {
            return Optional.of(String.format(
                    Locale.ROOT,
                    "%.0f requests wait for an answer of the new version, usual are %.0f",
                    pending,
                    usual));
        }
        return doubt(situation.sincePhase(), situation.beforePhase(), VersionComparison.Strictness.doubtingByEarlier());
    }

    /** Returns the time that the last requests at other versions need to end, by the longest answers of late. */
    private static long reserveMillis(Situation situation) {
        double[] durations = situation.whole().sum(false).durations();
        double total = AnswerTimes.total(durations);
        int longest = AnswerTimes.BUCKETS - 1;
        while (longest > 0 && AnswerTimes.atLeast(durations, longest) <= LONG_ANSWERS * total) {
            longest--;
        }
        double needed = RETIREMENT_OVERHEAD_MILLIS + AnswerTimes.upperMillis(longest);
        double most = LONGEST_RETIREMENT_PART * situation.rollout().durationMillis();
        return (long) Math.min(most, Math.max(SHORTEST_RETIREMENT_MILLIS, needed));
    }

    private static long retireMillis(Situation situation) {
        long duration = situation.rollout().durationMillis();
        return duration - Math.max(reserveMillis(situation), (long) (RETIREMENT_PART * duration));
    }
}
