package org.plantainwharf.bench;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.sheet.Rank;

/**
 * Figures of one run by name. Percentages are of the calls that arrived after the warm-up or, for figures of the flood
 * and of accounts, during the flood; a refused call counts as outside its target. Immutable.
 *
 * @param figures keys of {@link Measure} and further figures for diagnosis
 */
record RunResult(Map<String, Double> figures) {
    /**
     * Computes the figures of a run.
     *
     * @param samples all calls of the run
     * @param busyCost cost of the engine slots while they were busy
     * @param recomputedTokens tokens that were computed a second time
     * @param retries attempts after the first
     */
    static RunResult of(Collection<CallSample> samples, double busyCost, long recomputedTokens, long retries) {
        Map<String, Double> figures = new LinkedHashMap<>();
        Predicate<CallSample> afterWarmUp = sample -> sample.arrivalSeconds() >= Scenario.WARM_UP_SECONDS;
        Predicate<CallSample> duringFlood = sample -> Scenario.inFlood(sample.arrivalSeconds());
        long inTargetCount = samples.stream().filter(CallSample::inTarget).count();
        figures.put(Measure.COST.key(), inTargetCount == 0 ? 0 : busyCost * 100_000 / inTargetCount);
        figures.put(Measure.RECOMPUTED.key(), (double) recomputedTokens);
        figures.put(Measure.RETRIES.key(), (double) retries);
        for (Rank rank : new Rank[] {Workload.URGENT, Workload.NORMAL, Workload.BATCH}) {
            Predicate<CallSample> ofRank = sample -> sample.rank().equals(rank);
            figures.put("in target " + rank.name().value(), percentInTarget(samples, afterWarmUp.and(ofRank)));
            figures.put("in flood " + rank.name().value(), percentInTarget(samples, duringFlood.and(ofRank)));
            Predicate<CallSample> ofRankAfterWarmUp = afterWarmUp.and(ofRank);
            figures.put(
                    "95th percentile " + rank.name().value(),
                    percentile95(samples, ofRankAfterWarmUp, CallSample::firstTokenMillis));
            figures.put(
                    "95th percentile sent " + rank.name().value(),
                    percentile95(samples, ofRankAfterWarmUp, CallSample::firstAttemptMillis));
        }
        for (CallSample sample : samples) {
            if (!sample.failure().isEmpty()) {
                figures.merge("failed " + sample.rank().name().value() + " " + sample.failure(), 1.0, Double::sum);
            }
        }
        double worth = 0;
        for (CallSample sample : samples) {
            worth += duringFlood.test(sample) && sample.inTarget()
                    ? sample.rank().worth()
                    : 0;
        }
        figures.put(Measure.WORTH.key(), worth / (Scenario.FLOOD_END_SECONDS - Scenario.FLOOD_START_SECONDS));
        for (DeploymentProfile.AccountShare share : DeploymentProfile.ACCOUNTS) {
            AccountName account = share.account();
            figures.put(
                    "account " + account.value(), percentInTarget(samples, duringFlood.and(sample -> sample.account()
                            .equals(account))));
        }
        return new RunResult(Map.copyOf(figures));
    }

    /** Returns the 95th percentile in milliseconds, leaving out calls without that time; 0 if there are none. */
    private static double percentile95(
            Collection<CallSample> samples, Predicate<CallSample> filter, ToDoubleFunction<CallSample> time) {
        double[] values = samples.stream()
                .filter(filter)
                .mapToDouble(time)
                .filter(millis -> !Double.isNaN(millis))
                .sorted()
                .toArray();
        return values.length == 0 ? 0 : values[(int) (0.95 * (values.length - 1))];
    }

    /** Returns the percentage of calls in target; 100 if no call passes the filter. */
    private static double percentInTarget(Collection<CallSample> samples, Predicate<CallSample> filter) {
        long total = samples.stream().filter(filter).count();
        long inTarget =
                samples.stream().filter(filter).filter(CallSample::inTarget).count();
        return total == 0 ? 100 : 100.0 * inTarget / total;
    }
}
