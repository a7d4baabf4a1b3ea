package org.plantainwharf.rollout;

import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

import org.plantainwharf.identity.RouteName;

/**
 * Compares the answers of the target version with those of the other versions on the same routes. Failures are compared
 * as proportions. An answer is slow if it takes several times the median of the other versions; how often that happens is
 * compared as a proportion too, so that a wide spread of times, or a service that is slow as a whole, condemns nobody.
 * Stateless.
 */
final class VersionComparison {
    /** Fewer failures than this show nothing. */
    private static final long MINIMUM_FAILURES = 4;

    /** The first answers of a server whose caches are empty may be slow. */
    private static final long MINIMUM_SLOW = 10;

    private static final long MINIMUM_OTHER_ANSWERS = 10;

    /** Median of the other versions times this is slow. */
    private static final double SLOW_FACTOR = 2.5;

    /** The same against a median from before. */
    private static final double EARLIER_SLOW_FACTOR = 3.5;

    /** A service that fails a part of its answers may fail half as many more a few seconds later. */
    private static final double CHANGE_OF_OTHERS = 0.5;

    /** Refusals by more of the other servers than this are those of an overloaded service. */
    private static final double OVERLOADED_REFUSALS = 0.02;

    /** A process that ends loses all its requests; up to so many ends may be chance. */
    private static final long CHANCE_CRASHES = 2;

    /** Servers of one bad version may be bad to a different degree. */
    private static final double SIMILAR = 0.7;

    private VersionComparison() {}

    /**
     * How sure a comparison has to be. Immutable.
     *
     * @param deviations standard errors by which the difference must exceed what matters
     * @param failures difference of the proportions of failures that matters
     * @param slow difference of the proportions of slow answers that matters
     * @param leastFailures fewer failures show nothing
     * @param leastSlow fewer slow answers show nothing
     * @param partOfOthers part of the proportion of the others that is added to the difference that matters
     * @param slowFactor times the median of the others that counts as slow
     */
    record Strictness(
            double deviations,
            double failures,
            double slow,
            double slowFactor,
            long leastFailures,
            long leastSlow,
            double partOfOthers) {
        /** Condemns a version: one in thousands of comparisons of equal versions exceeds it. */
        static Strictness condemning() {
            return new Strictness(3.5, 0.015, 0.15, SLOW_FACTOR, MINIMUM_FAILURES, MINIMUM_SLOW, 0);
        }

        /** Condemns a version by answers of the others that are older, when the whole service may have changed since. */
        static Strictness condemningByEarlier() {
            return new Strictness(
                    3, 0.05, 0.4, EARLIER_SLOW_FACTOR, 2 * MINIMUM_FAILURES, MINIMUM_SLOW, CHANGE_OF_OTHERS);
        }

        /** Keeps a version from being completed by answers of the others that are older. */
        static Strictness doubtingByEarlier() {
            return new Strictness(2, 0.03, 0.3, SLOW_FACTOR, MINIMUM_FAILURES, MINIMUM_SLOW, CHANGE_OF_OTHERS);
        }

        /** Stops the growth of the share until there is more evidence. */
        static Strictness doubting() {
            return new Strictness(1.5, 0.015, 0.15, SLOW_FACTOR, 2, 3, 0);
        }
    }

    /** Returns what the target does worse in a slice, with its figures; empty if nothing is shown. */
    static Optional<String> worse(EvidenceSlice target, EvidenceSlice others, Strictness strictness) {
        Optional<String> failing = failing("all routes", target, target.sum(true), others.sum(false), strictness);
        if (failing.isPresent()) {
            return failing;
        }
        for (RouteName route : target.routes(true).stream()
                .sorted(Comparator.comparing(RouteName::value))
                .toList()) {
            EvidenceSlice.Counts mine = target.sum(true, route);
            EvidenceSlice.Counts theirs = others.sum(false, route);
            Optional<String> shown = failing("route " + route, target, mine, theirs, strictness)
                    .or(() -> slow("start", route, mine.times(), theirs.times(), strictness))
                    .or(() -> slow("end", route, mine.durations(), theirs.durations(), strictness));
            if (shown.isPresent()) {
                return shown;
            }
        }
        return Optional.empty();
    }

    private static Optional<String> failing(
            String where,
            EvidenceSlice target,
            EvidenceSlice.Counts mine,
            EvidenceSlice.Counts theirs,
            Strictness strictness) {
        if (theirs.answers() < MINIMUM_OTHER_ANSWERS) {
            return Optional.empty();
        }
        boolean overloaded = theirs.refused() > OVERLOADED_REFUSALS * theirs.answers();
        double refused = overloaded ? 0 : mine.refused();
        double lost = lossesThatCount(target, mine);
        double bad = mine.failures() + refused + lost;
        double answers = mine.answers() - (mine.lost() - lost) - (mine.refused() - refused);
        double otherBad = theirs.failures() + theirs.lost() + (overloaded ? 0 : theirs.refused());
        double otherAnswers = theirs.answers() - (overloaded ? theirs.refused() : 0);
        return bad >= strictness.leastFailures()
                        && exceeds(bad, answers, otherBad, otherAnswers, strictness.failures(), strictness)
                ? Optional.of(String.format(
                        Locale.ROOT,
                        "%s: %.0f of %.0f answers of the new version failed, %.1f of %.0f of the others",
                        where,
                        bad,
                        answers,
                        otherBad,
                        otherAnswers))
                : Optional.empty();
    }

    private static double lossesThatCount(EvidenceSlice target, EvidenceSlice.Counts mine) {
        long crashes = target.startsWithLosses();
        return crashes <= CHANCE_CRASHES ? Math.min(crashes, mine.lost()) : mine.lost();
    }

    /**
     * Returns how much more likely the answers of some servers of the target are if these are like the worst one than if
     * they are like the other versions, as a logarithm; 0 without answers.
     */
    static double likenessToWorst(EvidenceSlice rest, EvidenceSlice worst, EvidenceSlice others) {
        double badHere = bad(rest, true, others);
        double answers = rest.sum(true).answers();
        double likeWorst =
                SIMILAR * proportion(bad(worst, true, others), worst.sum(true).answers());
        double likeOthers =
                proportion(bad(others, false, others), others.sum(false).answers());
        if (likeWorst <= likeOthers) {
            return 0;
        }
        return badHere * Math.log(likeWorst / likeOthers)
                + (answers - badHere) * Math.log((1 - likeWorst) / (1 - likeOthers));
    }

    private static double proportion(double bad, double all) {
        return (Math.min(bad, all) + 0.5) / (all + 1);
    }

    /** Returns the answers of a side that failed or were slow. */
    private static double bad(EvidenceSlice slice, boolean target, EvidenceSlice others) {
        EvidenceSlice.Counts sum = slice.sum(target);
        double bad = sum.failures() + sum.refused() + (target ? lossesThatCount(slice, sum) : sum.lost());
        for (RouteName route : slice.routes(target)) {
            EvidenceSlice.Counts mine = slice.sum(target, route);
            EvidenceSlice.Counts theirs = others.sum(false, route);
            bad += Math.max(slow(mine.times(), theirs.times()), slow(mine.durations(), theirs.durations()));
        }
        return Math.min(bad, sum.answers());
    }

    private static double slow(double[] mine, double[] theirs) {
        int median = AnswerTimes.medianBucket(theirs);
        return median < 0
                ? 0
                : AnswerTimes.atLeast(mine, AnswerTimes.bucket(AnswerTimes.upperMillis(median) * SLOW_FACTOR));
    }

    private static Optional<String> slow(
            String what, RouteName route, double[] mine, double[] theirs, Strictness strictness) {
        double others = AnswerTimes.total(theirs);
        if (others < MINIMUM_OTHER_ANSWERS) {
            return Optional.empty();
        }
        double medianMillis = AnswerTimes.upperMillis(AnswerTimes.medianBucket(theirs));
        int threshold = AnswerTimes.bucket(medianMillis * strictness.slowFactor());
        double slow = AnswerTimes.atLeast(mine, threshold);
        double otherSlow = AnswerTimes.atLeast(theirs, threshold);
        double answers = AnswerTimes.total(mine);
        return slow >= strictness.leastSlow()
                        && exceeds(slow, answers, otherSlow, others, strictness.slow(), strictness)
                ? Optional.of(String.format(
                        Locale.ROOT,
                        "route %s: time to the %s of the answer is above %.0f ms in %.0f of %.0f answers of the new version, "
                                + "%.1f of %.0f of the others",
                        route,
                        what,
                        AnswerTimes.upperMillis(threshold - 1),
                        slow,
                        answers,
                        otherSlow,
                        others))
                : Optional.empty();
    }

    /**
     * Returns whether the lower bound of the difference of two proportions exceeds what matters. One good and one bad
     * answer are added on each side (Agresti and Caffo), which keeps the bound right for few answers.
     */
    private static boolean exceeds(
            double bad, double all, double otherBad, double otherAll, double matters, Strictness strictness) {
        double mine = (bad + 1.0) / (all + 2.0);
        double theirs = (otherBad + 1.0) / (otherAll + 2.0);
        double deviation = Math.sqrt(mine * (1 - mine) / (all + 2.0) + theirs * (1 - theirs) / (otherAll + 2.0));
        return mine - theirs - strictness.deviations() * deviation > matters + strictness.partOfOthers() * theirs;
    }
}
