package org.plantainwharf.forward;

import java.util.List;
import java.util.Objects;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against engines that are flooded while others are idle, and against queues that make every request late. The
 * load is that of prompts that bind the engines, with three kinds of request whose sizes spread widely. Other ways to
 * choose an engine are measured in the same run, with the same arrivals.
 */
class EngineFleetTest {
    private static final long[] SEEDS = {1, 2, 3};
    private static final double[] SPEEDS = {0.6, 1, 1.6, 1};
    private static final EngineFleet.Policy PRODUCT = new EngineFleet.Policy.Product();
    private static final List<EngineFleet.Policy> OTHERS = List.of(
            new EngineFleet.Policy.RoundRobin(),
            new EngineFleet.Policy.LeastReported(),
            new EngineFleet.Policy.TwoChoices());
    private static final List<EngineFleet.Kind> KINDS = List.of(
            new EngineFleet.Kind("redraft", 1, 12, 2_520, 3_780, 289, 2_890, 51, 1_000, 6_000, 3.8),
            new EngineFleet.Kind("check", 0, 15, 568, 0, 367, 1_800, 24, 600, 4_000, 2),
            new EngineFleet.Kind("hint", 2, 12.5, 172, 0, 298, 543, 279, 500, 15_000, 0.55));

    private static EngineFleet fleet(int daemons, int engines, EngineFleet.Policy policy, long seed) {
        return new EngineFleet(new EngineFleet.Shape(daemons, engines, 4, SPEEDS, 38.7, policy), KINDS, seed);
    }

    private static double worth(int daemons, int engines, double load, EngineFleet.Policy policy) {
        return LongStream.of(SEEDS)
                .mapToDouble(seed -> {
                    EngineFleet fleet = fleet(daemons, engines, policy, seed);
                    fleet.setLoad(load);
                    fleet.advance(30_000);
                    return fleet.worthShare();
                })
                .average()
                .orElseThrow();
    }

    private static void assertBetterThanOthers(int daemons, int engines, double load) {
        double product = worth(daemons, engines, load, PRODUCT);
        for (EngineFleet.Policy other : OTHERS) {
            double others = worth(daemons, engines, load, other);
            assertTrue(product > others, product + " is not more than " + others + " of " + other);
        }
    }

    @Nested
    class EnginesInSufficientNumber {
        @Test
        void serveMoreInTimeThanWithOtherChoices() {
            assertBetterThanOthers(8, 7, 1);
        }

        @Test
        void areNotRefusedToRequestsInVain() {
            EngineFleet fleet = fleet(8, 10, PRODUCT, SEEDS[0]);
            fleet.advance(30_000);
            int refused = fleet.outcomes().values().stream()
                    .mapToInt(ofKind -> ofKind.refused)
                    .sum();
            assertTrue(refused == 0, fleet.outcomes().toString());
        }
    }

    /** Requests for one and a half and for three times what the engines can process. */
    @Nested
    class OverloadedEngines {
        @ParameterizedTest
        @ValueSource(doubles = {1, 2})
        void serveMoreInTimeThanWithOtherChoices(double load) {
            assertBetterThanOthers(8, 4, load);
        }

        /** Refusing by size would serve more requests, but never those with long prompts. */
        @Test
        void serveLongPromptsNotLessThanHalfAsOftenAsOthers() {
            EngineFleet fleet = fleet(8, 3, PRODUCT, SEEDS[0]);
            fleet.advance(30_000);
            fleet.outcomes().forEach((name, ofKind) -> {
                double served = (double) (ofKind.inTarget + ofKind.late) / ofKind.asked;
                double servedLarge = (double) ofKind.servedLarge / ofKind.askedLarge;
                assertTrue(servedLarge > served / 2, name + ": " + ofKind);
            });
        }

        /** The users' pages price a kind that is served less often than a less urgent one. */
        @Test
        void serveUrgentKindsNotLessOftenThanOthers() {
            EngineFleet fleet = fleet(8, 3, PRODUCT, SEEDS[1]);
            fleet.advance(30_000);
            double previous = 1;
            for (String kind : List.of("check", "redraft", "hint")) {
                EngineFleet.Outcomes ofKind =
                        Objects.requireNonNull(fleet.outcomes().get(kind));
                double served = (double) (ofKind.inTarget + ofKind.late) / ofKind.asked;
                assertTrue(served < previous + 0.05, kind + ": " + fleet.outcomes());
                previous = served;
            }
        }
    }

    /** Reclaims take four of seven engines within some seconds, and nothing replaces them for as long. */
    @Nested
    class ReclaimsInWaves {
        private double worthAcrossTheWaves(EngineFleet.Policy policy) {
            return LongStream.of(SEEDS)
                    .mapToDouble(seed -> {
                        EngineFleet fleet = fleet(8, 7, policy, seed);
                        fleet.advance(15_000);
                        fleet.stopEngine("i-0");
                        fleet.stopEngine("i-1");
                        fleet.advance(3_000);
                        fleet.stopEngine("i-2");
                        fleet.stopEngine("i-3");
                        fleet.advance(8_000);
                        fleet.addEngine("i-10", 0, 1);
                        fleet.addEngine("i-11", 1, 1.6);
                        fleet.addEngine("i-12", 2, 0.6);
                        fleet.addEngine("i-13", 3, 1);
                        fleet.advance(15_000);
                        return fleet.worthShare();
                    })
                    .average()
                    .orElseThrow();
        }

        @Test
        void loseLessThanWithOtherChoices() {
            double product = worthAcrossTheWaves(PRODUCT);
            for (EngineFleet.Policy other : OTHERS) {
                double others = worthAcrossTheWaves(other);
                assertTrue(product > others, product + " is not more than " + others + " of " + other);
            }
        }
    }

    /** With many daemons before few engines, each hears of the load of an engine only every few seconds. */
    @Nested
    class ManyDaemons {
        @Test
        void serveMoreInTimeThanWithOtherChoices() {
            assertBetterThanOthers(94, 10, 1.2);
        }
    }

    /** The number of engines is ordered from the demand that daemons report, in tokens of an engine of usual speed. */
    @Nested
    class ReportedDemand {
        private double demand(int engines, double promptTokensPerMilli) {
            EngineFleet fleet = new EngineFleet(
                    new EngineFleet.Shape(8, engines, 4, SPEEDS, promptTokensPerMilli, PRODUCT), KINDS, SEEDS[0]);
            fleet.advance(30_000);
            return fleet.reportedPromptTokens();
        }

        /** 3.6 times as much for the tokens alone; what depends on pairs of tokens takes both the same time. */
        @Test
        void ofSlowerEnginesIsHigher() {
            double ratio = demand(10, 38.7) / demand(10, 140);
            assertTrue(ratio > 2 && ratio < 3.6, "ratio " + ratio);
        }

        @Test
        void containsRequestsThatWereTurnedAway() {
            double sufficient = demand(10, 38.7);
            double insufficient = demand(4, 38.7);
            assertTrue(insufficient > 0.9 * sufficient, insufficient + " instead of " + sufficient);
        }
    }
}
