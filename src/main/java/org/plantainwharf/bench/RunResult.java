package org.plantainwharf.bench;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.sheet.Rank;

/**
 * Figures of one run by name. Shares are percentages of the calls that arrived after the warm-up; a call that was
 * refused counts as not in its target. Immutable.
 */
record RunResult(Map<String, Double> figures) {
    /** Returns the figures of a run. */
    static RunResult of(Collection<Sample> samples, double busyCost, long recomputedTokens, long retries) {
        Map<String, Double> figures = new LinkedHashMap<>();
        Predicate<Sample> counted = sample -> sample.arrivedSeconds() >= Scenario.WARM_UP_SECONDS;
        Predicate<Sample> flood = sample -> Scenario.inFlood(sample.arrivedSeconds());
        long inTarget = samples.stream().filter(Sample::inTarget).count();
        figures.put(Measure.COST.key(), inTarget == 0 ? 0 : busyCost * 100_000 / inTarget);
        figures.put(Measure.RECOMPUTED.key(), (double) recomputedTokens);
        figures.put(Measure.RETRIES.key(), (double) retries);
        for (Rank rank : new Rank[] {Work.URGENT, Work.NORMAL, Work.BATCH}) {
            Predicate<Sample> ofRank = sample -> sample.rank().equals(rank);
            figures.put("in target " + rank.name().value(), share(samples, counted.and(ofRank)));
            figures.put("in flood " + rank.name().value(), share(samples, flood.and(ofRank)));
            Predicate<Sample> among = counted.and(ofRank);
            figures.put("95th percentile " + rank.name().value(), quantile(samples, among, Sample::firstMillis));
            figures.put("95th percentile sent " + rank.name().value(), quantile(samples, among, Sample::sentMillis));
        }
        for (Sample sample : samples) {
            if (!sample.failure().isEmpty()) {
                figures.merge("failed " + sample.rank().name().value() + " " + sample.failure(), 1.0, Double::sum);
            }
        }
        double worth = 0;
        for (Sample sample : samples) {
            worth += flood.test(sample) && sample.inTarget() ? sample.rank().worth() : 0;
        }
        figures.put(Measure.WORTH.key(), worth / (Scenario.FLOOD_END_SECONDS - Scenario.FLOOD_START_SECONDS));
        for (Firm.AccountShare share : Firm.ACCOUNTS) {
            AccountName account = share.account();
            figures.put("account " + account.value(), share(samples, flood.and(sample -> sample.account()
                    .equals(account))));
        }
        return new RunResult(Map.copyOf(figures));
    }

    /** Returns the 95th percentile of a time among the calls that have one. */
    private static double quantile(Collection<Sample> samples, Predicate<Sample> among, ToDoubleFunction<Sample> time) {
        double[] values = samples.stream()
                .filter(among)
                .mapToDouble(time)
                .filter(millis -> !Double.isNaN(millis))
                .sorted()
                .toArray();
        return values.length == 0 ? 0 : values[(int) (0.95 * (values.length - 1))];
    }

    private static double share(Collection<Sample> samples, Predicate<Sample> among) {
        long all = samples.stream().filter(among).count();
        long good = samples.stream().filter(among).filter(Sample::inTarget).count();
        return all == 0 ? 100 : 100.0 * good / all;
    }
}
