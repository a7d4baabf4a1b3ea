package org.plantainwharf.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against load reports that are ignored, or believed for longer than they are true. */
class ServerStatisticsTest {
    private static final long NOW = TimeUnit.SECONDS.toNanos(100);

    private final ServerStatistics statistics = new ServerStatistics();
    private final EngineProfile profile = EngineProfile.create();

    private static long later(long millis) {
        return NOW + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Nested
    class WorkTimes {
        @BeforeEach
        void reportAServerAtAThirdOfItsSpeed() {
            statistics.recordLoad(new ServerLoad(1, 0, 64, 300), NOW);
            statistics.recordLoad(new ServerLoad(1, 0, 64, 300), NOW);
        }

        @Test
        void lengthenTheTimeForAPromptToken() {
            assertTrue(statistics.millisPerToken(profile, NOW) >= 2 * profile.millisPerToken());
        }

        /** The figure changes many times a second; an old one would keep requests from a server that has recovered. */
        @Test
        void areForgottenWithinASecond() {
            assertEquals(profile.millisPerToken(), statistics.millisPerToken(profile, later(1_000)), 1e-9);
        }
    }

    @Nested
    class Queues {
        @BeforeEach
        void sendAPromptOfUsualLength() {
            profile.recordSent(2_000, 0, NOW);
            statistics.recordSent(2_000, Optional.empty(), NOW);
        }

        @Test
        void containTheRequestsOfOtherDaemonsThatWaitAtTheServer() {
            statistics.recordLoad(new ServerLoad(20, 9, 64, 100), NOW);
            assertEquals(9 * 2_000 * profile.millisPerToken(), statistics.queueMillis(profile, NOW), 1e-9);
        }

        @Test
        void shrinkWithTheAgeOfTheReport() {
            statistics.recordLoad(new ServerLoad(20, 9, 64, 100), NOW);
            assertTrue(statistics.queueMillis(profile, later(200)) < statistics.queueMillis(profile, NOW));
        }

        @Test
        void areNeverShorterThanThePromptsOfThisDaemon() {
            statistics.recordLoad(new ServerLoad(0, 0, 64, 100), NOW);
            assertEquals(2_000 * profile.millisPerToken(), statistics.queueMillis(profile, later(1_500)), 1e-9);
        }

        @Test
        void areEmptyOnceThePromptsAreProcessedAndTheReportIsOld() {
            statistics.recordLoad(new ServerLoad(20, 9, 64, 100), NOW);
            statistics.recordPromptProcessed(2_000);
            assertEquals(0, statistics.queueMillis(profile, later(2_001)), 1e-9);
        }
    }

    /** Guards against refusals at empty engines, which send no answers and so no reports. */
    @Nested
    class FreePlaces {
        private static final int SLOTS = 14;

        @Test
        void areTakenByWhatThisDaemonSentSince() {
            statistics.recordLoad(new ServerLoad(12, 0, 64, 100), NOW);
            statistics.recordSent(0, Optional.empty(), NOW);
            assertTrue(statistics.hasFreePlace(SLOTS, NOW));
            statistics.recordSent(0, Optional.empty(), NOW);
            assertFalse(statistics.hasFreePlace(SLOTS, NOW));
        }

        @Test
        void areNoneWhereRequestsWait() {
            statistics.recordLoad(new ServerLoad(3, 1, 64, 100), NOW);
            assertFalse(statistics.hasFreePlace(SLOTS, NOW));
        }

        @Test
        void areAtServersOfUnknownLoadWithoutRequestsOfThisDaemon() {
            assertTrue(statistics.hasFreePlace(SLOTS, NOW));
            statistics.recordSent(0, Optional.empty(), NOW);
            assertFalse(statistics.hasFreePlace(SLOTS, NOW));
        }
    }

    @Nested
    class Speeds {
        @Test
        void ofASlowServerAreLearnedFromItsAnswers() {
            for (int index = 0; index < 20; index++) {
                statistics.recordSent(4_000, Optional.empty(), NOW);
                statistics.recordPromptTime(
                        4_000, 3 * 4_000 * EngineProfile.INITIAL_MILLIS_PER_TOKEN, EngineProfile.create(), NOW);
                statistics.recordPromptProcessed(4_000);
            }
            assertTrue(statistics.millisPerToken(profile, NOW) > 2 * profile.millisPerToken());
        }

        /** The queue of one server would otherwise make all servers of the service look slow. */
        @Test
        void ofTheServiceAreNotLearnedFromRequestsThatWaitedForOthersOfThisDaemon() {
            statistics.recordSent(4_000, Optional.empty(), NOW);
            statistics.recordSent(4_000, Optional.empty(), NOW);
            statistics.recordPromptTime(4_000, 900, profile, NOW);
            assertEquals(EngineProfile.INITIAL_MILLIS_PER_TOKEN, profile.millisPerToken());
            assertTrue(statistics.millisPerToken(profile, NOW) > profile.millisPerToken());
        }
    }
}
