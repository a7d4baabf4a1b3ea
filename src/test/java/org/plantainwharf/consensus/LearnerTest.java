package org.plantainwharf.consensus;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.VoterId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LearnerTest {
    private static final List<HostId> HOSTS = List.of(HostId.of("a"), HostId.of("b"), HostId.of("c"));

    /** Time in which a document must be in force on a host that is in contact. */
    private static final long IN_FORCE_MILLIS = 2_000;

    @Nested
    class SilentSources {
        private final Learner learner = Learner.create(
                0, VoterId.of(HostId.of("entry"), 0), LogHosts.discovered(HOSTS), ReplicaOptions.discovered(), 0);

        /** Ticks as the daemon does and answers for every host but the silent one; returns who is asked last. */
        private HostId lastAsked(long fromMillis, long toMillis, HostId silent) {
            HostId asked = silent;
            for (long millis = fromMillis; millis <= toMillis; millis += 50) {
                long now = TimeUnit.MILLISECONDS.toNanos(millis);
                for (ReplicaOutput.Outgoing outgoing :
                        learner.step(new ReplicaInput.Ticked(), now).messages()) {
                    asked = outgoing.host();
                    if (!asked.equals(silent)) {
                        learner.step(
                                new ReplicaInput.Received(new ReplicaMessage.AppendRequest(
                                        1, VoterId.of(asked, 9), 0, 0, List.of(), 0, 0)),
                                now);
                    }
                }
            }
            return asked;
        }

        @Test
        void areLeftBeforeADocumentIsOverdue() {
            HostId first = lastAsked(0, 500, HostId.of("nobody"));
            HostId second = lastAsked(550, 550 + IN_FORCE_MILLIS, first);
            assertTrue(!second.equals(first), "still asks " + first);
        }

        @Test
        void areNotLeftWhileTheyAnswer() {
            HostId first = lastAsked(0, 500, HostId.of("nobody"));
            assertEquals(first, lastAsked(550, 10_000, HostId.of("nobody")));
        }
    }
}
