package org.plantainwharf.quarantine;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against wrong blame in a large fleet, in which a daemon sees a prompt part seldom and many engines crash
 * together. The system property {@code soak.seeds} sets the number of further seeds of each test.
 */
class PromptPartAtScaleTest {
    private static final long WAVE_MILLIS = 2_700;
    private static final int WAVES = 8;
    private static final int ENGINES_IN_A_WAVE = 9;
    private static final long DOWN_MILLIS = 2_000;
    private static final long AFTERWARDS_MILLIS = 15_000;
    private static final double STEPPED_CLOCKS = 0.28;
    private static final long CLOCK_STEP_MILLIS = 2_400_000;

    private static LongStream seeds(long... known) {
        return LongStream.concat(LongStream.of(known), LongStream.rangeClosed(1, Integer.getInteger("soak.seeds", 2)))
                .distinct();
    }

    static LongStream seedsOfKindsThatBegin() {
        return seeds(13, 14, 16, 22, 25, 31, 33, 38, 40);
    }

    static LongStream seedsOfRestarts() {
        return seeds(37);
    }

    static LongStream seedsOfSingleCrashes() {
        return seeds(28);
    }

    static LongStream seedsOfOtherRuns() {
        return seeds();
    }

    private static void assertNoneCalledWrong(LargeCrashingFleet fleet, long seed) {
        fleet.runTraffic(AFTERWARDS_MILLIS, 0);
        assertEquals(List.of(), fleet.soundRequestsCalledWrong(), "seed " + seed);
    }

    private static void assertFoundInTime(LargeCrashingFleet fleet, long seed) {
        assertTrue(fleet.deadlyCrashes() >= 3, "seed " + seed + ": " + fleet.deadlyCrashes() + " crashes");
        assertTrue(
                fleet.lateDeadlyArrivals() <= 3,
                "seed " + seed + ": " + fleet.lateDeadlyArrivals() + " requests too late, " + fleet.deadlyCrashes()
                        + " crashes");
        assertEquals(List.of(), fleet.soundRequestsCalledWrong(), "seed " + seed);
    }

    @Nested
    class SoundRequests {
        /**
         * All requests of a kind share a part, and no daemon has seen one run when several engines crash together. That was
         * taken for several crashes, and requests under way, which would have shown the part to be harmless, were cut.
         */
        @ParameterizedTest
        @MethodSource("org.plantainwharf.quarantine.PromptPartAtScaleTest#seedsOfKindsThatBegin")
        void areNotCalledWrongIfServersCrashTogetherWhenTheirKindBegins(long seed) {
            LargeCrashingFleet fleet = LargeCrashingFleet.create(seed);
            fleet.setActive(LargeCrashingFleet.Kind.BATCH_REPORT, false);
            fleet.runTraffic(12_000, 0);
            fleet.setActive(LargeCrashingFleet.Kind.BATCH_REPORT, true);
            fleet.runTraffic(300 + new Random(seed).nextInt(700), 0);
            fleet.crashEngines(ENGINES_IN_A_WAVE, DOWN_MILLIS);
            assertNoneCalledWrong(fleet, seed);
        }

        /** Daemons that have just started report parts that others know to be harmless, and objections come late. */
        @ParameterizedTest
        @MethodSource("org.plantainwharf.quarantine.PromptPartAtScaleTest#seedsOfRestarts")
        void areNotCalledWrongInWavesOfCrashesAndRestarts(long seed) {
            LargeCrashingFleet fleet = LargeCrashingFleet.create(seed);
            Random random = new Random(seed);
            fleet.runTraffic(4_000, 0);
            fleet.setZoneLink(2, 300);
            for (int wave = 0; wave < WAVES; wave++) {
                fleet.restartDaemons(17);
                fleet.pauseDaemons(0.3, 600);
                fleet.runTraffic(200 + random.nextInt(3_000), 0);
                if (random.nextInt(3) == 0) {
                    fleet.loseLeader(1_500);
                }
                fleet.crashEngines(ENGINES_IN_A_WAVE + random.nextInt(20), DOWN_MILLIS);
                fleet.runTraffic(1_500, 0);
            }
            assertNoneCalledWrong(fleet, seed);
        }

        /** Some rare parts are at three of a series of single crashes by chance. */
        @ParameterizedTest
        @MethodSource("org.plantainwharf.quarantine.PromptPartAtScaleTest#seedsOfSingleCrashes")
        void areNotCalledWrongInASeriesOfSingleCrashes(long seed) {
            LargeCrashingFleet fleet = LargeCrashingFleet.create(seed);
            Random random = new Random(seed);
            fleet.runTraffic(4_000, 0);
            for (int crash = 0; crash < 20; crash++) {
                fleet.crashEngines(1, DOWN_MILLIS);
                fleet.runTraffic(500 + random.nextInt(1_500), 0);
            }
            assertNoneCalledWrong(fleet, seed);
        }

        /** Crashes must not seem to be far apart because the clocks of the reporting daemons are. */
        @ParameterizedTest
        @MethodSource("org.plantainwharf.quarantine.PromptPartAtScaleTest#seedsOfOtherRuns")
        void areNotCalledWrongWhenClocksDiffer(long seed) {
            LargeCrashingFleet fleet = LargeCrashingFleet.create(seed);
            fleet.stepClocks(STEPPED_CLOCKS, CLOCK_STEP_MILLIS);
            fleet.runTraffic(4_000, 0);
            for (int wave = 0; wave < WAVES; wave++) {
                fleet.crashEngines(ENGINES_IN_A_WAVE, DOWN_MILLIS);
                fleet.runTraffic(WAVE_MILLIS, 0);
            }
            assertNoneCalledWrong(fleet, seed);
        }
    }

    @Nested
    class DeadlyParts {
        @ParameterizedTest
        @MethodSource("org.plantainwharf.quarantine.PromptPartAtScaleTest#seedsOfOtherRuns")
        void reachAtMostThreeEnginesLongAfterTheThirdCrash(long seed) {
            LargeCrashingFleet fleet = LargeCrashingFleet.create(seed);
            fleet.runTraffic(8_000, 0);
            fleet.runTraffic(25_000 + AFTERWARDS_MILLIS, 0.02);
            assertFoundInTime(fleet, seed);
        }

        /** Crashes for another reason must not hide those that the part causes. */
        @ParameterizedTest
        @MethodSource("org.plantainwharf.quarantine.PromptPartAtScaleTest#seedsOfOtherRuns")
        void areFoundAmongWavesOfCrashesAndRestarts(long seed) {
            LargeCrashingFleet fleet = LargeCrashingFleet.create(seed);
            fleet.runTraffic(8_000, 0);
            for (int wave = 0; wave < WAVES; wave++) {
                fleet.runTraffic(WAVE_MILLIS, 0.02);
                fleet.crashEngines(ENGINES_IN_A_WAVE, DOWN_MILLIS);
                fleet.restartDaemons(3);
            }
            fleet.runTraffic(AFTERWARDS_MILLIS, 0.02);
            assertFoundInTime(fleet, seed);
        }
    }
}
