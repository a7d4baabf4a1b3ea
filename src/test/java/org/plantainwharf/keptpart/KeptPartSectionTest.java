package org.plantainwharf.keptpart;

import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.observation.ServerStart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against parts that are expected where they have yielded, or at a server that has started again. */
class KeptPartSectionTest {
    private static final long NOW = TimeUnit.SECONDS.toNanos(1_000);
    private static final long PART = 17;
    private static final ServerStart SERVER = ServerStart.of(ServerId.of("i-1"), 1_000);

    /** 400,000 tokens of memory, of which 20 tokens are replaced in a millisecond: all in 20 s. */
    private static final Retention RETENTION = new Retention(400_000, 20);

    private final KeptPartSection section = KeptPartSection.create();

    private double likelihood(ServerStart server, long laterMillis) {
        return section.likelihood(server, PART, RETENTION, NOW + TimeUnit.MILLISECONDS.toNanos(laterMillis));
    }

    @Nested
    class Memory {
        @Test
        void keepsAPartThatWasUsedLately() {
            section.recordUse(SERVER, PART, NOW);
            assertEquals(1, likelihood(SERVER, 5_000));
        }

        /** Other prompts have replaced the whole memory since. */
        @Test
        void thatIsFullLosesThePartThatWasNotUsed() {
            section.recordUse(SERVER, PART, NOW);
            assertEquals(0, likelihood(SERVER, 25_000));
            assertTrue(likelihood(SERVER, 18_000) < 1);
        }

        @Test
        void thatRunningRequestsFillKeepsNothing() {
            section.recordUse(SERVER, PART, NOW);
            assertEquals(0, section.likelihood(SERVER, PART, new Retention(-1, 20), NOW));
        }

        @Test
        void ofAServerThatIsNotUsedKeepsItsParts() {
            section.recordUse(SERVER, PART, NOW);
            assertEquals(
                    1, section.likelihood(SERVER, PART, new Retention(400_000, 0), NOW + TimeUnit.SECONDS.toNanos(60)));
        }
    }

    @Nested
    class Uses {
        @Test
        void ofAnEarlierStartAreNotKnownOfALaterOne() {
            section.recordUse(SERVER, PART, NOW);
            assertEquals(0, likelihood(ServerStart.of(ServerId.of("i-1"), 2_000), 0));
        }

        @Test
        void thatAreReportedLateDoNotReplaceLaterOnes() {
            section.recordUse(SERVER, PART, NOW);
            assertTrue(section.recordUse(SERVER, PART, NOW - TimeUnit.SECONDS.toNanos(30)) < 0);
            assertEquals(1, likelihood(SERVER, 0));
        }

        @Test
        void nameTheServersThatKeepAPart() {
            section.recordUse(SERVER, PART, NOW);
            assertEquals(Set.of(SERVER), section.keepers(PART));
            section.removeUnusedSince(used -> true);
            assertEquals(Set.of(), section.keepers(PART));
        }

        /** A server with more parts than are remembered would otherwise fill the memory of the daemon. */
        @Test
        void areBoundedInNumber() {
            for (long part = 0; part <= KeptPartSection.MAXIMUM_PARTS; part++) {
                section.recordUse(SERVER, 1_000 + part, NOW + part);
            }
            assertEquals(0, section.likelihood(SERVER, 1_000, RETENTION, NOW));
            assertEquals(1, section.likelihood(SERVER, 1_001, RETENTION, NOW));
        }
    }
}
