package org.plantainwharf.registry;

import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.plantainwharf.effect.RegistryEffect;
import org.plantainwharf.event.RegistryEvent;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.testing.StoredControlGroup;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against a server that has announced its end, was acknowledged, and is in use again: after the control daemons
 * were killed, a report that the server sent before may arrive late. A control daemon that opens the folder of another
 * one is that daemon after a kill.
 */
@Timeout(60)
class DepartureControllerTest {
    private static final ServerId SERVER = ServerId.of("i-1");
    private static final long START = 1_000;

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path folder;

    private static ServerReport report(long startEpochMillis, long sequence, ServerPhase phase) {
        return new ServerReport(
                SERVER,
                startEpochMillis,
                sequence,
                ServiceName.of("engine"),
                "10.0.0.1:80",
                AvailabilityZone.of("zone-a"),
                64,
                phase,
                0,
                false,
                OptionalLong.empty(),
                ServerVersion.unstated());
    }

    private static RegistryEvent ready(long startEpochMillis, long sequence) {
        return new RegistryEvent.ServerReported(1, report(startEpochMillis, sequence, ServerPhase.READY));
    }

    private static RegistryEvent leaving(long sequence) {
        return new RegistryEvent.ServerReported(2, report(START, sequence, ServerPhase.LEAVING));
    }

    private static RegistryEvent deregistered(OptionalLong start) {
        return new RegistryEvent.ServerDeregistered(3, SERVER, start);
    }

    private static boolean inUse(StoredControlGroup group) {
        return group.board().registry().server(SERVER).map(KnownServer::ready).orElse(false);
    }

    private boolean inUseAfterAKillAndALateReport() throws InterruptedException {
        try (StoredControlGroup restarted = StoredControlGroup.open(folder)) {
            restarted.handle(ready(START, 4));
            return inUse(restarted);
        }
    }

    @Nested
    class AcknowledgedDepartures {
        @Test
        void byDeregistrationSurviveAKillOfAllControlDaemons() throws InterruptedException {
            try (StoredControlGroup group = StoredControlGroup.open(folder)) {
                group.handle(ready(START, 5));
                group.handle(deregistered(OptionalLong.of(START)));
                assertEquals(
                        new RegistryEffect.AnswerServer(3, true),
                        group.answers().getLast());
            }
            assertEquals(false, inUseAfterAKillAndALateReport());
        }

        @Test
        void withoutAStartUseTheOneThatWasReported() throws InterruptedException {
            try (StoredControlGroup group = StoredControlGroup.open(folder)) {
                group.handle(ready(START, 5));
                group.handle(deregistered(OptionalLong.empty()));
                assertEquals(
                        new RegistryEffect.AnswerServer(3, true),
                        group.answers().getLast());
            }
            assertEquals(false, inUseAfterAKillAndALateReport());
        }

        @Test
        void byAReportOfLeavingSurviveAKillOfAllControlDaemons() throws InterruptedException {
            try (StoredControlGroup group = StoredControlGroup.open(folder)) {
                group.handle(ready(START, 5));
                group.handle(leaving(6));
                assertEquals(
                        new RegistryEffect.AnswerServer(2, true),
                        group.answers().getLast());
            }
            assertEquals(false, inUseAfterAKillAndALateReport());
        }

        @Test
        void doNotKeepALaterStartOfTheServerFromBeingUsed() throws InterruptedException {
            try (StoredControlGroup group = StoredControlGroup.open(folder)) {
                group.handle(deregistered(OptionalLong.of(START)));
            }
            try (StoredControlGroup restarted = StoredControlGroup.open(folder)) {
                restarted.handle(ready(START + 1, 1));
                assertEquals(true, inUse(restarted));
            }
        }
    }

    @Nested
    class Acknowledgements {
        @Test
        void waitForTheCommitWhileTheDepartureIsInForce() throws InterruptedException {
            try (StoredControlGroup group = StoredControlGroup.open(folder)) {
                group.handle(ready(START, 5));
                group.stallDisk();
                group.handle(leaving(6));
                assertEquals(List.of(new RegistryEffect.AnswerServer(1, true)), group.answers());
                assertEquals(false, inUse(group));
            }
        }

        @Test
        void areGivenAtOnceForWhatIsRecorded() throws InterruptedException {
            try (StoredControlGroup group = StoredControlGroup.open(folder)) {
                group.handle(leaving(6));
                group.stallDisk();
                group.handle(leaving(7));
                assertEquals(
                        List.of(new RegistryEffect.AnswerServer(2, true), new RegistryEffect.AnswerServer(2, true)),
                        group.answers());
            }
        }
    }
}
