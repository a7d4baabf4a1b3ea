package org.plantainwharf.forward;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against engines that are taken for faster or slower than they are, which misplaces requests and orders. */
class EngineProfileTest {
    private static final long SEED = 20261205;

    private final EngineProfile profile = EngineProfile.create();
    private final Random random = new Random(SEED);

    /** Records answers of engines with three speeds, a part of which waited for others. */
    private void recordAnswers(int count, double millisPerToken, double waitingShare) {
        double[] speeds = {0.6, 1, 1.6};
        for (int index = 0; index < count; index++) {
            long tokens = 1_000 + random.nextInt(6_000);
            double waitMillis = random.nextDouble() < waitingShare ? 600 * random.nextDouble() : 0;
            profile.recordAnswer(tokens, waitMillis + 8 + tokens * millisPerToken / speeds[index % 3]);
        }
    }

    private void assertLearned(double expected) {
        assertTrue(
                profile.millisPerToken() > 0.7 * expected && profile.millisPerToken() < 1.4 * expected,
                "seed " + SEED + ": " + profile.millisPerToken() + " instead of " + expected);
    }

    @Nested
    class TimePerToken {
        @Test
        void ofSlowEnginesIsLearnedWithinFiftyAnswers() {
            recordAnswers(50, 1 / 38.7, 0.3);
            assertLearned(1 / 38.7);
        }

        @Test
        void ofFastEnginesIsLearnedWithinFiftyAnswers() {
            recordAnswers(50, 1 / 140.0, 0.3);
            assertLearned(1 / 140.0);
        }

        /** The time that a slow host takes itself would otherwise look like slow engines, and more would be ordered. */
        @Test
        void doesNotContainTheTimeOfASlowHost() {
            for (int index = 0; index < 60; index++) {
                long tokens = 100 + random.nextInt(800);
                profile.recordAnswer(tokens, 95 + tokens / 38.7);
                long moreTokens = 1_000 + random.nextInt(6_000);
                profile.recordAnswer(moreTokens, 95 + moreTokens / 38.7);
            }
            assertLearned(1 / 38.7);
        }

        @Test
        void followsEnginesThatAreReplacedBySlowerOnes() {
            recordAnswers(300, 1 / 140.0, 0.3);
            recordAnswers(150, 1 / 38.7, 0.3);
            assertLearned(1 / 38.7);
        }

        @Test
        void staysBoundedWhenEveryRequestWaitsForSeconds() {
            for (int index = 0; index < 1_000; index++) {
                profile.recordAnswer(1_000, 5_000);
            }
            assertEquals(0.1, profile.millisPerToken(), 1e-9);
        }

        @Test
        void isNotLearnedFromShortPrompts() {
            profile.recordAnswer(10, 300);
            assertEquals(EngineProfile.INITIAL_MILLIS_PER_TOKEN, profile.millisPerToken());
        }
    }

    @Nested
    class MostUrgentPriority {
        @Test
        void isForgottenAfterTenSecondsWithoutSuchRequests() {
            profile.recordSent(100, 0, 0);
            profile.recordSent(100, 2, TimeUnit.SECONDS.toNanos(9));
            assertEquals(0, profile.mostUrgentPriority(TimeUnit.SECONDS.toNanos(9)));
            assertEquals(2, profile.mostUrgentPriority(TimeUnit.SECONDS.toNanos(10)));
        }
    }

    @Nested
    class RequestsTurnedAway {
        /** Otherwise refusals would hide the demand, and no engines would be ordered for it. */
        @Test
        void countHalfWithTheAveragePromptButNeverMoreThanTheirOwn() {
            profile.recordSent(2_000, 0, 0);
            profile.recordTurnedAway(new PromptShape("m", 9_000, 10, List.of()), true);
            profile.recordTurnedAway(new PromptShape("m", 500, 10, List.of()), true);
            assertEquals(1_250, profile.turnedAwayTokens());
        }

        /** They are not counted again, so half of them would hide demand. */
        @Test
        void countWholeIfTheirCallersWereNotToldToReturn() {
            profile.recordSent(2_000, 0, 0);
            profile.recordTurnedAway(new PromptShape("m", 9_000, 10, List.of()), false);
            assertEquals(2_000, profile.turnedAwayTokens());
        }
    }
}
