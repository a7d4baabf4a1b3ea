package org.plantainwharf.bench;

import java.util.List;

/**
 * Deviations from the ordinary load of a deployment. Immutable.
 *
 * @param name name in results and JSON
 * @param urgentFactor factor on the rate of urgent model calls during the flood
 * @param batchFactor factor on the rate of calls of the lowest rank during the flood
 * @param greedyAccount whether the account {@code small-1} sends far more than its limit during the flood
 * @param unequalSpeeds whether engines differ in speed by a factor of up to five
 * @param unequalPrices whether half of the engines cost four times as much
 * @param zoneReclaimed whether all servers of one zone are reclaimed in the middle of the flood
 */
record Scenario(
        String name,
        double urgentFactor,
        double batchFactor,
        boolean greedyAccount,
        boolean unequalSpeeds,
        boolean unequalPrices,
        boolean zoneReclaimed) {
    static final double WARM_UP_SECONDS = 5;
    static final double FLOOD_START_SECONDS = 15;
    static final double FLOOD_END_SECONDS = 40;
    static final double RECLAIM_SECONDS = 25;
    static final double ARRIVALS_END_SECONDS = 45;
    static final double END_SECONDS = 60;

    static List<Scenario> all() {
        return List.of(
                new Scenario("normal load", 1, 1, false, false, false, false),
                new Scenario("flood of the lowest rank", 1, 16, false, false, false, false),
                new Scenario("flood of the highest rank", 20, 1, false, false, false, false),
                new Scenario("one greedy account", 1, 1, true, false, false, false),
                new Scenario("unequal servers", 1, 1, false, true, false, false),
                new Scenario("zone reclaimed in a flood", 1, 16, false, false, false, true),
                new Scenario("prices that differ", 1, 1, false, false, true, false));
    }

    /** Returns whether a time in seconds after the start of the run is within the flood. */
    static boolean inFlood(double seconds) {
        return seconds >= FLOOD_START_SECONDS && seconds < FLOOD_END_SECONDS;
    }
}
