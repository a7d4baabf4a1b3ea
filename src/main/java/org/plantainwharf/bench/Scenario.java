package org.plantainwharf.bench;

import java.util.List;

/**
 * What differs from ordinary load. Immutable.
 *
 * @param urgentFactor multiplies urgent model questions during the flood
 * @param batchFactor multiplies the lowest rank during the flood
 * @param greedyAccount whether the account {@code small-1} sends far more than its limit during the flood
 * @param unequalSpeeds whether engines differ in speed by up to five times
 * @param unequalPrices whether half of the engines cost four times as much
 * @param zoneReclaimed whether a zone's servers are reclaimed in the middle of the flood
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

    /** Says whether calls that arrive at this time arrive during the flood. */
    static boolean inFlood(double seconds) {
        return seconds >= FLOOD_START_SECONDS && seconds < FLOOD_END_SECONDS;
    }
}
