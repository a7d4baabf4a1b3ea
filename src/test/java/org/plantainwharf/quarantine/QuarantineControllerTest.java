package org.plantainwharf.quarantine;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.decision.DecisionHarness;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.AttemptProblem;
import org.plantainwharf.event.PlatformEvent;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.server.Announcement;
import org.plantainwharf.server.LoadReport;
import org.plantainwharf.server.ServerKind;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a request that crashes one server after another, and against quarantine of requests that only ran at
 * the same time.
 */
class QuarantineControllerTest {
    private static final Fingerprint POISON = Fingerprint.of("big/poison");
    private static final Fingerprint NEIGHBOUR = Fingerprint.of("small/neighbour");

    private final DecisionHarness harness = DecisionHarness.create();

    private void server(String name, AvailabilityZone zone, long incarnation) {
        harness.announce(
                new Announcement(
                        ServerId.of(name),
                        incarnation,
                        harness.nowNanos(),
                        "127.0.0.1:1",
                        zone,
                        DecisionHarness.CLASS,
                        new ServerKind.ModelEngine(Set.of(DecisionHarness.MODEL), true, false),
                        4,
                        LoadReport.idle(),
                        false),
                3_000);
    }

    private void servers(long incarnation, String... names) {
        for (String name : names) {
            server(name, DecisionHarness.ZONE_A, incarnation);
        }
    }

    private List<AttemptEffect.StartAttempt> running() {
        return harness.starts().stream()
                .filter(start -> harness.board()
                        .calls()
                        .call(start.call().id())
                        .filter(entry -> entry.isCurrent(start.attempt()))
                        .isPresent())
                .toList();
    }

    private AttemptEffect.StartAttempt running(String request) {
        return running().stream()
                .filter(start -> start.call().id().equals(RequestId.of(request)))
                .findFirst()
                .orElseThrow();
    }

    /** Crashes the server of an attempt: its connections are lost, and it announces itself with another incarnation. */
    private void crash(AttemptEffect.StartAttempt cause, long nextIncarnation) {
        for (AttemptEffect.StartAttempt start : running()) {
            if (start.server().equals(cause.server())) {
                harness.fail(start, new AttemptProblem.ConnectionLost(), 0);
            }
        }
        server(cause.server().value(), DecisionHarness.ZONE_A, nextIncarnation);
    }

    private boolean quarantined(Fingerprint fingerprint) {
        return harness.board()
                .quarantine()
                .isQuarantined(fingerprint, harness.board().wallClockMillis());
    }

    private boolean suspect(Fingerprint fingerprint) {
        return harness.board()
                .quarantine()
                .isSuspect(fingerprint, harness.board().wallClockMillis());
    }

    @Nested
    class PoisonRequests {
        @Test
        void areRefusedAfterTwoCrashesUnderAnyRequestId() {
            servers(1, "s1", "s2");
            harness.arrive(harness.modelCall("poison#1", "big", "urgent"));
            crash(running("poison#1"), 2);
            crash(running("poison#1"), 2);
            assertTrue(quarantined(POISON));
            harness.arrive(harness.modelCall("poison#2", "big", "urgent"));
            assertEquals(
                    ErrorKind.REQUEST_QUARANTINED,
                    harness.failure("poison#2").orElseThrow().kind());
            harness.arrive(harness.modelCall("other", "big", "urgent"));
            assertTrue(harness.failure("other").isEmpty());
        }

        @Test
        void areRefusedForHalfAnHourOnly() {
            servers(1, "s1", "s2");
            harness.arrive(harness.modelCall("poison#1", "big", "urgent"));
            crash(running("poison#1"), 2);
            crash(running("poison#1"), 2);
            long millis = harness.board().wallClockMillis();
            assertTrue(harness.board().quarantine().isQuarantined(POISON, millis + 1_799_000));
            assertFalse(harness.board().quarantine().isQuarantined(POISON, millis + 1_800_001));
        }

        @Test
        void waitWhileTwoPossibleCrashesAreUnresolved() {
            servers(1, "s1", "s2", "s3");
            harness.arrive(harness.modelCall("poison#1", "big", "urgent"));
            harness.fail(running("poison#1"), new AttemptProblem.ConnectionLost(), 0);
            harness.fail(running("poison#1"), new AttemptProblem.ConnectionLost(), 0);
            assertEquals(2, harness.starts().size(), "the request is not sent to the third server");
        }

        @Test
        void areRefusedOnThisHostWithoutAMajority() {
            harness.setMajority(false);
            servers(1, "s1", "s2");
            harness.arrive(harness.modelCall("poison#1", "big", "urgent"));
            crash(running("poison#1"), 2);
            crash(running("poison#1"), 2);
            assertTrue(quarantined(POISON));
            harness.setMajority(true);
            harness.advanceMillis(2_100);
            assertEquals(
                    1,
                    harness.board().configuration().state().crashes().size(),
                    "reports are proposed again and committed");
        }
    }

    @Nested
    class ConcurrentRequests {
        @Test
        void areNotQuarantinedForCrashesOfAPoisonRequest() {
            servers(1, "s1");
            int crashes = 0;
            for (int round = 1; round <= 20; round++) {
                harness.arrive(harness.modelCall("neighbour#" + round, "small", "urgent"));
                harness.arrive(harness.modelCall("poison#" + round, "big", "urgent"));
                for (AttemptEffect.StartAttempt start : running()) {
                    if (start.call().fingerprint().equals(POISON)) {
                        crashes++;
                        crash(start, crashes + 1);
                    }
                }
                running().forEach(harness::complete);
                harness.advanceMillis(600);
                servers(crashes + 1, "s1");
            }
            assertTrue(quarantined(POISON));
            assertTrue(crashes <= 3, "one crash of concurrent requests and two alone: " + crashes);
            assertFalse(quarantined(NEIGHBOUR));
            assertTrue(harness.counter("errors.request_quarantined") > 0, "waiting calls are refused too");
        }

        @Test
        void areClearedOnceTheyRanAlone() {
            servers(1, "s1", "s2", "s3");
            harness.announce("s2", DecisionHarness.ZONE_A, 1, 4, new LoadReport(4, 4, 0));
            harness.announce("s3", DecisionHarness.ZONE_A, 1, 4, new LoadReport(4, 4, 0));
            harness.arrive(harness.modelCall("neighbour#1", "small", "urgent"));
            harness.arrive(harness.modelCall("poison#1", "big", "urgent"));
            assertEquals(running("neighbour#1").server(), running("poison#1").server());
            crash(running("poison#1"), 2);
            assertTrue(suspect(POISON));
            assertTrue(suspect(NEIGHBOUR));
            for (AttemptEffect.StartAttempt start : running()) {
                harness.complete(start);
            }
            servers(2, "s2", "s3");
            harness.arrive(harness.modelCall("neighbour#2", "small", "urgent"));
            harness.arrive(harness.modelCall("poison#2", "big", "urgent"));
            assertFalse(
                    running("neighbour#2").server().equals(running("poison#2").server()),
                    "suspects do not share a server");
            harness.complete(running("neighbour#2"));
            assertFalse(suspect(NEIGHBOUR));
            crash(running("poison#2"), 3);
            assertTrue(suspect(POISON));
            assertFalse(quarantined(NEIGHBOUR));
        }
    }

    @Nested
    class LostConnections {
        @Test
        void afterAReclaimNoticeAreNoCrash() {
            servers(1, "s1", "s2");
            harness.arrive(harness.modelCall("poison#1", "big", "urgent"));
            AttemptEffect.StartAttempt start = running("poison#1");
            harness.run(new PlatformEvent.ServerReclaimNoticed(start.server(), 2_000));
            harness.fail(start, new AttemptProblem.ConnectionLost(), 0);
            harness.advanceMillis(3_500);
            assertFalse(suspect(POISON));
            assertEquals(1, harness.counter("quarantine.reclaims_ignored"));
        }

        @Test
        void duringLossOfTheZoneAreNoCrash() {
            servers(1, "s1", "s2");
            server("s3", DecisionHarness.ZONE_B, 1);
            harness.arrive(harness.modelCall("poison#1", "big", "urgent"));
            harness.fail(running("poison#1"), new AttemptProblem.ConnectionLost(), 0);
            harness.advanceMillis(2_900);
            server("s3", DecisionHarness.ZONE_B, 1);
            harness.advanceMillis(500);
            assertFalse(suspect(POISON));
            assertEquals(1, harness.counter("quarantine.zone_losses_ignored"));
        }

        @Test
        void toALiveServerAreNoCrash() {
            servers(1, "s1", "s2");
            harness.arrive(harness.modelCall("poison#1", "big", "urgent"));
            harness.fail(running("poison#1"), new AttemptProblem.ConnectionLost(), 0);
            for (int second = 0; second < 6; second++) {
                harness.advanceMillis(1_000);
                servers(1, "s1", "s2");
            }
            assertFalse(suspect(POISON));
            assertTrue(harness.board().quarantine().possibleCrashes().isEmpty());
        }

        @Test
        void beforeAnExpiredLeaseWithoutNoticeAreACrash() {
            servers(1, "s1", "s2");
            harness.arrive(harness.modelCall("poison#1", "big", "urgent"));
            AttemptEffect.StartAttempt start = running("poison#1");
            harness.fail(start, new AttemptProblem.ConnectionLost(), 0);
            harness.advanceMillis(2_000);
            servers(1, start.server().value().equals("s1") ? "s2" : "s1");
            harness.advanceMillis(1_500);
            assertTrue(suspect(POISON));
        }
    }
}
