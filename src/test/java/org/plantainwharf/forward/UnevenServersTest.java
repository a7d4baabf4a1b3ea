package org.plantainwharf.forward;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against daemons that know little of uneven servers and all choose the same one. Each load is played with the same
 * arrivals by daemons that share what they see and by daemons that do not.
 */
class UnevenServersTest {
    private static final long[] SEEDS = {1, 2, 3};
    private static final double[] SPEEDS = {0.6, 1, 1.6, 1};
    private static final double[] EQUAL_SPEEDS = {1};
    private static final List<EngineFleet.Kind> KINDS = List.of(
            new EngineFleet.Kind("redraft", 1, 12, 5_382, 3_000, 289, 2_890, 51, 1_000, 6_000, 3.8),
            new EngineFleet.Kind("check", 0, 15, 568, 0, 367, 1_800, 24, 600, 4_000, 2),
            new EngineFleet.Kind("hint", 2, 12.5, 172, 0, 298, 543, 279, 500, 15_000, 0.55));

    private static EngineFleet fleet(int daemons, int engines, double[] speeds, int controls, double load, long seed) {
        EngineFleet fleet = new EngineFleet(
                new EngineFleet.Shape(daemons, engines, 4, speeds, 38.7, new EngineFleet.Policy.Product())
                        .sharing(controls),
                KINDS,
                seed);
        fleet.setLoad(load);
        return fleet;
    }

    private static double average(
            int daemons,
            int engines,
            double[] speeds,
            int controls,
            double load,
            Consumer<EngineFleet> play,
            ToDoubleFunction<EngineFleet> measure) {
        return LongStream.of(SEEDS)
                .mapToDouble(seed -> {
                    EngineFleet fleet = fleet(daemons, engines, speeds, controls, load, seed);
                    play.accept(fleet);
                    return measure.applyAsDouble(fleet);
                })
                .average()
                .orElseThrow();
    }

    private static void assertWorthMore(
            int daemons, int engines, double[] speeds, double load, Consumer<EngineFleet> play) {
        double alone = average(daemons, engines, speeds, 0, load, play, EngineFleet::worthShare);
        double sharing = average(daemons, engines, speeds, 2, load, play, EngineFleet::worthShare);
        assertTrue(sharing > alone, sharing + " with shared observations, " + alone + " without");
    }

    /** 26 daemons before 63 engines and 86 before 98, where each daemon hears of an engine every few seconds. */
    @Nested
    class ManyDaemonsBeforeManyEngines {
        @Test
        void serveMoreInTimeThanWithoutNewsOfOthers() {
            assertWorthMore(26, 63, SPEEDS, 8, fleet -> fleet.advance(10_000));
        }

        @Test
        void answerSoonerThanWithoutNewsOfOthers() {
            double alone =
                    average(26, 63, SPEEDS, 0, 8, fleet -> fleet.advance(10_000), EngineFleet::averageAnswerMillis);
            double sharing =
                    average(26, 63, SPEEDS, 2, 8, fleet -> fleet.advance(10_000), EngineFleet::averageAnswerMillis);
            assertTrue(sharing < alone, sharing + " ms with shared observations, " + alone + " ms without");
        }

        @Test
        void serveMoreInTimeAtEightySixDaemons() {
            assertWorthMore(86, 98, SPEEDS, 12, fleet -> fleet.advance(6_000));
        }

        /** With equal engines, long waits come from the choice alone. */
        @Test
        void doNotHerdAtEqualEngines() {
            double alone = average(
                    26, 63, EQUAL_SPEEDS, 0, 8, fleet -> fleet.advance(8_000), fleet -> fleet.answerMillis(0.95));
            double sharing = average(
                    26, 63, EQUAL_SPEEDS, 2, 8, fleet -> fleet.advance(8_000), fleet -> fleet.answerMillis(0.95));
            assertTrue(sharing < alone, sharing + " ms with shared observations, " + alone + " ms without");
        }

        /** Of the 28 KB/s that control may use, 8 KB/s are for what daemons share. */
        @Test
        void keepWithinTheBudgetOfBytes() {
            EngineFleet fleet = fleet(86, 98, SPEEDS, 2, 12, SEEDS[0]);
            fleet.advance(5_000);
            assertTrue(fleet.mostReceivedBytes() <= 5 * 8_000, fleet.mostReceivedBytes() + " B in 5 s");
        }
    }

    /** Half of the machines do work that takes two and a half times as long, each for 600 ms. */
    @Nested
    class MachinesThatAreSlowForATime {
        @Test
        void areAvoidedSoonerThanWithoutNewsOfOthers() {
            assertWorthMore(26, 63, EQUAL_SPEEDS, 5, fleet -> {
                fleet.setSlowProbability(0.5);
                fleet.advance(10_000);
            });
        }
    }

    @Nested
    class ServersThatComeAndGo {
        /** A zone's worth of engines is lost within seconds, and others start empty. */
        @Test
        void costLessThanWithoutNewsOfOthers() {
            assertWorthMore(26, 32, SPEEDS, 3, fleet -> {
                fleet.advance(3_000);
                for (int index = 0; index < 32; index += 4) {
                    fleet.stopEngine("i-" + index);
                }
                fleet.advance(3_000);
                for (int index = 100; index < 108; index++) {
                    fleet.addEngine("i-" + index, 0, 1);
                }
                fleet.advance(4_000);
            });
        }

        @Test
        void loseNothingByARestartUnderTheSameName() {
            assertWorthMore(26, 32, SPEEDS, 3, fleet -> {
                fleet.advance(3_000);
                for (int index = 0; index < 32; index += 3) {
                    fleet.restartEngine("i-" + index);
                }
                fleet.advance(5_000);
            });
        }
    }

    /** All callers turn to the entry daemons of one zone of four, whose own engines can serve a quarter of them. */
    @Nested
    class DemandThatMovesToOneZone {
        @Test
        void isServedByTheEnginesOfOtherZones() {
            double worth = average(
                    24,
                    64,
                    EQUAL_SPEEDS,
                    2,
                    6,
                    fleet -> {
                        fleet.advance(3_000);
                        fleet.moveArrivalsToZone(0);
                        fleet.advance(7_000);
                    },
                    EngineFleet::worthShare);
            double even = average(24, 64, EQUAL_SPEEDS, 2, 6, fleet -> fleet.advance(10_000), EngineFleet::worthShare);
            assertTrue(worth > 0.9 * even, worth + " instead of " + even);
        }
    }
}
