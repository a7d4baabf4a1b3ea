package org.plantainwharf.rollout;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.effect.RolloutEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.replicated.Command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against rollouts that are acknowledged and lost, begun twice or by nobody's order, and against verdicts that are
 * forgotten or taken back, whatever of the control daemons and their disks is lost.
 */
@Timeout(300)
class RolloutRecoveryTest {
    private static final String SERVICE = "huvo11a";
    private static final String TARGET = "v2";
    private static final long DURATION_MILLIS = 12_000;

    /** Operators send an order again for this long. */
    private static final long RESEND_MILLIS = 5_000;

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path folder;

    private RolloutLogFleet fleet(long seed) throws InterruptedException {
        return RolloutLogFleet.start(seed, folder, SERVICE, "other");
    }

    private static Optional<ErrorKind> refusal(RolloutEffect answer) {
        return answer instanceof RolloutEffect.RefuseRollout refused
                ? Optional.of(refused.failure().kind())
                : Optional.empty();
    }

    private static Rollout acknowledged(RolloutEffect answer) {
        if (answer instanceof RolloutEffect.AcknowledgeOrder order) {
            return order.rollout();
        }
        throw new AssertionError("not acknowledged: " + answer);
    }

    private static Rollout returned(RolloutEffect answer) {
        if (answer instanceof RolloutEffect.ReturnRollout read) {
            return read.rollout();
        }
        throw new AssertionError("not returned: " + answer);
    }

    private static RolloutEffect order(RolloutLogFleet fleet, HostId host) throws InterruptedException {
        return fleet.awaitAnswer(fleet.order(host, SERVICE, TARGET, DURATION_MILLIS));
    }

    private static Rollout readFromAnyDaemon(RolloutLogFleet fleet) throws InterruptedException {
        for (int attempt = 0; attempt < 40; attempt++) {
            for (HostId host : List.copyOf(fleet.running())) {
                RolloutEffect answer = fleet.awaitAnswer(fleet.read(host, SERVICE));
                if (refusal(answer).isEmpty()) {
                    return returned(answer);
                }
                assertEquals(Optional.of(ErrorKind.NO_QUORUM), refusal(answer));
            }
        }
        throw new AssertionError("no daemon returns the rollout");
    }

    /** Gives a verdict as the leader does, and waits until every daemon has it. */
    private static void finish(RolloutLogFleet fleet, long number, RolloutPhase verdict) throws InterruptedException {
        fleet.propose(fleet.leader(), new Command.FinishRollout(ServiceName.of(SERVICE), number, verdict));
        fleet.advance(1_000);
    }

    @Nested
    class AcknowledgedOrders {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6})
        void surviveTheLossOfAllPower(long seed) throws Exception {
            try (RolloutLogFleet fleet = fleet(seed)) {
                HostId asked = RolloutLogFleet.CONTROL.get((int) (seed % 3));
                Rollout begun = acknowledged(order(fleet, asked));
                fleet.losePower();
                fleet.startAll();
                fleet.awaitLeader();
                assertEquals(begun, readFromAnyDaemon(fleet), "seed " + seed);
            }
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6})
        void surviveTheLossOfADiskRightAfterwards(long seed) throws Exception {
            try (RolloutLogFleet fleet = fleet(seed)) {
                Rollout begun = acknowledged(order(fleet, fleet.follower()));
                fleet.loseDisk(seed % 2 == 0 ? fleet.leader() : fleet.follower());
                fleet.awaitLeader();
                assertEquals(begun, readFromAnyDaemon(fleet), "seed " + seed);
                fleet.advance(8_000);
                fleet.losePower();
                fleet.startAll();
                fleet.awaitLeader();
                assertEquals(begun, readFromAnyDaemon(fleet), "seed " + seed + ", after the disk was replaced");
            }
        }

        /** The leader is lost at any time from the order to its acknowledgement; the operator goes on to other daemons. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
        void areOneRolloutWhenTheLeaderIsLostHalfway(long seed) throws Exception {
            try (RolloutLogFleet fleet = fleet(seed)) {
                HostId leader = fleet.leader();
                HostId asked = seed % 2 == 0 ? leader : fleet.follower();
                long ticket = fleet.order(asked, SERVICE, TARGET, DURATION_MILLIS);
                fleet.advance(10 * (seed / 2));
                fleet.kill(leader);
                Optional<Rollout> begun = Optional.empty();
                if (asked.equals(leader)) {
                    begun = fleet.answer(ticket).map(RolloutRecoveryTest::acknowledged);
                }
                List<HostId> others = RolloutLogFleet.CONTROL.stream()
                        .filter(host -> !host.equals(leader))
                        .toList();
                List<RolloutEffect> answers = new ArrayList<>();
                for (long passed = 0; passed < RESEND_MILLIS; passed += 500) {
                    long resent = fleet.order(others.get((int) (passed / 500) % 2), SERVICE, TARGET, DURATION_MILLIS);
                    fleet.advance(500);
                    fleet.answer(resent).ifPresent(answers::add);
                }
                List<Rollout> acknowledged = answers.stream()
                        .filter(RolloutEffect.AcknowledgeOrder.class::isInstance)
                        .map(RolloutRecoveryTest::acknowledged)
                        .toList();
                assertFalse(acknowledged.isEmpty(), "seed " + seed + ": not acknowledged within 5 s");
                Rollout first = begun.orElse(acknowledged.getFirst());
                acknowledged.forEach(other -> assertEquals(first, other, "seed " + seed));
                fleet.startDaemon(leader);
                fleet.advance(3_000);
                for (HostId host : RolloutLogFleet.CONTROL) {
                    assertEquals(Optional.of(first), fleet.applied(host, SERVICE), "seed " + seed);
                }
                assertEquals(1, first.number(), "seed " + seed);
            }
        }
    }

    @Nested
    class Verdicts {
        private final RolloutPhase rolledBack = new RolloutPhase.RolledBack("failures");

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void surviveTheLossOfAllPowerAndOfADisk(long seed) throws Exception {
            try (RolloutLogFleet fleet = fleet(seed)) {
                long number = acknowledged(order(fleet, fleet.leader())).number();
                finish(fleet, number, rolledBack);
                fleet.losePower();
                fleet.startAll();
                fleet.awaitLeader();
                assertEquals(rolledBack, readFromAnyDaemon(fleet).phase(), "seed " + seed);
                fleet.loseDisk(fleet.leader());
                fleet.awaitLeader();
                assertEquals(rolledBack, readFromAnyDaemon(fleet).phase(), "seed " + seed);
            }
        }

        /** A former leader may still propose what it decided before it was replaced. */
        @Test
        void areNotTakenBackByLateProposals() throws Exception {
            try (RolloutLogFleet fleet = fleet(1)) {
                long number = acknowledged(order(fleet, fleet.leader())).number();
                finish(fleet, number, rolledBack);
                ServiceName service = ServiceName.of(SERVICE);
                for (HostId host : RolloutLogFleet.CONTROL) {
                    fleet.propose(host, new Command.FinishRollout(service, number, new RolloutPhase.Completed()));
                    fleet.propose(host, new Command.AdvanceRollout(service, number, new RolloutPhase.Growing(500)));
                    fleet.propose(host, new Command.AdvanceRollout(service, number, new RolloutPhase.Retiring()));
                }
                fleet.advance(1_000);
                fleet.losePower();
                fleet.startAll();
                fleet.awaitLeader();
                assertEquals(rolledBack, readFromAnyDaemon(fleet).phase());
            }
        }

        @Test
        void onlyOneOfTwoAtOnceIsInForce() throws Exception {
            try (RolloutLogFleet fleet = fleet(2)) {
                long number = acknowledged(order(fleet, fleet.leader())).number();
                ServiceName service = ServiceName.of(SERVICE);
                fleet.propose(fleet.follower(), new Command.FinishRollout(service, number, rolledBack));
                fleet.propose(fleet.leader(), new Command.FinishRollout(service, number, new RolloutPhase.Completed()));
                fleet.advance(2_000);
                RolloutPhase verdict = readFromAnyDaemon(fleet).phase();
                assertTrue(verdict.ended());
                for (HostId host : RolloutLogFleet.CONTROL) {
                    assertEquals(
                            Optional.of(verdict), fleet.applied(host, SERVICE).map(Rollout::phase));
                }
            }
        }
    }

    @Nested
    class StoresWithoutAQuorum {
        @Test
        void acknowledgeNothingWhileDisksStall() throws Exception {
            try (RolloutLogFleet fleet = fleet(1)) {
                HostId leader = fleet.leader();
                List<HostId> others = RolloutLogFleet.CONTROL.stream()
                        .filter(host -> !host.equals(leader))
                        .toList();
                others.forEach(host -> fleet.stallDisk(host, true));
                for (HostId host : RolloutLogFleet.CONTROL) {
                    assertEquals(Optional.of(ErrorKind.ROLLOUT_UNDECIDED), refusal(order(fleet, host)));
                }
                others.forEach(host -> fleet.stallDisk(host, false));
                fleet.advance(4_000);
                assertEquals(1, acknowledged(order(fleet, fleet.follower())).number());
            }
        }

        @Test
        void acknowledgeNothingWhileTwoDaemonsAreGone() throws Exception {
            try (RolloutLogFleet fleet = fleet(2)) {
                HostId left = fleet.leader();
                for (HostId host : RolloutLogFleet.CONTROL) {
                    if (!host.equals(left)) {
                        fleet.kill(host);
                    }
                }
                assertEquals(Optional.of(ErrorKind.ROLLOUT_UNDECIDED), refusal(order(fleet, left)));
                assertEquals(Optional.of(ErrorKind.NO_QUORUM), refusal(fleet.awaitAnswer(fleet.read(left, SERVICE))));
                fleet.startAll();
                fleet.awaitLeader();
                assertEquals(1, acknowledged(order(fleet, fleet.follower())).number());
            }
        }

        /** The order of an undecided answer may come into force later; the operator's resend must be that order. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void mayKeepWhatTheyDidNotAcknowledgeAsTheSameRollout(long seed) throws Exception {
            try (RolloutLogFleet fleet = fleet(seed)) {
                HostId leader = fleet.leader();
                fleet.cutOff(leader, true);
                assertEquals(Optional.of(ErrorKind.ROLLOUT_UNDECIDED), refusal(order(fleet, leader)));
                fleet.advance(1_500);
                Rollout begun = acknowledged(order(fleet, fleet.leader()));
                fleet.cutOff(leader, false);
                fleet.advance(4_000);
                for (HostId host : RolloutLogFleet.CONTROL) {
                    assertEquals(Optional.of(begun), fleet.applied(host, SERVICE), "seed " + seed);
                }
            }
        }
    }

    @Nested
    class Resends {
        @Test
        void toAnotherDaemonAfterALostAnswerGetTheSameAnswer() throws Exception {
            try (RolloutLogFleet fleet = fleet(1)) {
                Rollout begun = acknowledged(order(fleet, fleet.leader()));
                for (HostId host : RolloutLogFleet.CONTROL) {
                    assertEquals(begun, acknowledged(order(fleet, host)));
                }
            }
        }

        /** The operator has its answer, the rollout is over, and a copy of the order arrives that was held back on its way. */
        @Test
        void thatArriveAfterTheVerdictBeginNothing() throws Exception {
            try (RolloutLogFleet fleet = fleet(2)) {
                long number = acknowledged(order(fleet, fleet.leader())).number();
                RolloutPhase verdict = new RolloutPhase.RolledBack("failures");
                finish(fleet, number, verdict);
                fleet.advance(RESEND_MILLIS);
                for (HostId host : RolloutLogFleet.CONTROL) {
                    assertEquals(number, acknowledged(order(fleet, host)).number());
                }
                assertEquals(verdict, readFromAnyDaemon(fleet).phase());
            }
        }

        /** Without this, a version that was rolled back would be tried again by nobody's order. */
        @Test
        void thatArriveAfterALaterRolloutBeginNothing() throws Exception {
            try (RolloutLogFleet fleet = fleet(4)) {
                long number = acknowledged(order(fleet, fleet.leader())).number();
                finish(fleet, number, new RolloutPhase.RolledBack("failures"));
                Rollout later =
                        acknowledged(fleet.awaitAnswer(fleet.order(fleet.leader(), SERVICE, "v3", DURATION_MILLIS)));
                finish(fleet, later.number(), new RolloutPhase.Completed());
                fleet.losePower();
                fleet.startAll();
                fleet.awaitLeader();
                for (HostId host : RolloutLogFleet.CONTROL) {
                    assertEquals(number, acknowledged(order(fleet, host)).number());
                }
                assertEquals(later.withPhase(new RolloutPhase.Completed()), readFromAnyDaemon(fleet));
            }
        }

        @Test
        void surviveTheRemovalOfTheServiceFromTheDocument() throws Exception {
            try (RolloutLogFleet fleet = fleet(3)) {
                Rollout begun = acknowledged(order(fleet, fleet.leader()));
                fleet.replaceDocument(fleet.leader(), 2, "other");
                fleet.advance(500);
                for (HostId host : RolloutLogFleet.CONTROL) {
                    assertEquals(begun, acknowledged(order(fleet, host)));
                }
            }
        }
    }

    @Nested
    class TwoOperators {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6})
        void withDifferentOrdersAtOnceGetOneRollout(long seed) throws Exception {
            try (RolloutLogFleet fleet = fleet(seed)) {
                HostId one = RolloutLogFleet.CONTROL.get((int) (seed % 3));
                HostId two = RolloutLogFleet.CONTROL.get((int) ((seed + 1) % 3));
                long first = fleet.order(one, SERVICE, "v2", DURATION_MILLIS);
                long second = fleet.order(two, SERVICE, "v3", DURATION_MILLIS);
                RolloutEffect firstAnswer = fleet.awaitAnswer(first);
                RolloutEffect secondAnswer = fleet.awaitAnswer(second);
                boolean firstWon = refusal(firstAnswer).isEmpty();
                assertEquals(
                        Optional.of(ErrorKind.ROLLOUT_CONFLICT),
                        refusal(firstWon ? secondAnswer : firstAnswer),
                        "seed " + seed);
                Rollout begun = acknowledged(firstWon ? firstAnswer : secondAnswer);
                assertEquals(begun, readFromAnyDaemon(fleet));
                assertEquals(ServerVersion.of(firstWon ? "v2" : "v3"), begun.target());
            }
        }

        @Test
        void withTheSameOrderGetTheSameAnswer() throws Exception {
            try (RolloutLogFleet fleet = fleet(7)) {
                long first = fleet.order(fleet.leader(), SERVICE, TARGET, DURATION_MILLIS);
                long second = fleet.order(fleet.follower(), SERVICE, TARGET, DURATION_MILLIS);
                assertEquals(acknowledged(fleet.awaitAnswer(first)), acknowledged(fleet.awaitAnswer(second)));
            }
        }

        @Test
        void ofTwoServicesDoNotHinderEachOther() throws Exception {
            try (RolloutLogFleet fleet = fleet(8)) {
                long first = fleet.order(fleet.leader(), SERVICE, TARGET, DURATION_MILLIS);
                long second = fleet.order(fleet.follower(), "other", "v9", DURATION_MILLIS);
                acknowledged(fleet.awaitAnswer(first));
                acknowledged(fleet.awaitAnswer(second));
            }
        }
    }

    @Nested
    class UnknownServices {
        private Optional<ErrorKind> refusalOfUnknown(RolloutLogFleet fleet, HostId host, String service)
                throws InterruptedException {
            return refusal(fleet.awaitAnswer(fleet.order(host, service, TARGET, DURATION_MILLIS)));
        }

        @Test
        void areRefusedByEveryDaemonInContact() throws Exception {
            try (RolloutLogFleet fleet = fleet(1)) {
                for (HostId host : RolloutLogFleet.CONTROL) {
                    assertEquals(Optional.of(ErrorKind.ROLLOUT_INVALID), refusalOfUnknown(fleet, host, "gone"));
                    assertEquals(
                            Optional.of(ErrorKind.ROLLOUT_NOT_FOUND),
                            refusal(fleet.awaitAnswer(fleet.read(host, "gone"))));
                }
            }
        }

        /** The document with the service was acknowledged by another daemon just before. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6})
        void areNotRefusedRightAfterADocumentBroughtThem(long seed) throws Exception {
            try (RolloutLogFleet fleet = fleet(seed)) {
                HostId asked = RolloutLogFleet.CONTROL.get((int) (seed % 3));
                for (int version = 2; version < 8; version++) {
                    fleet.replaceDocument(fleet.leader(), version, SERVICE, "other", "new-" + version);
                    Optional<ErrorKind> refusal = refusalOfUnknown(fleet, asked, "new-" + version);
                    assertTrue(
                            refusal.isEmpty() || refusal.get().httpStatus() == 503,
                            "seed " + seed + ": " + refusal + " of version " + version);
                }
            }
        }

        @Test
        void areUndecidedAtADaemonThatIsCutOff() throws Exception {
            try (RolloutLogFleet fleet = fleet(2)) {
                HostId cut = fleet.follower();
                fleet.cutOff(cut, true);
                assertEquals(Optional.of(ErrorKind.ROLLOUT_SERVICE_UNCONFIRMED), refusalOfUnknown(fleet, cut, "new"));
            }
        }
    }

    @Nested
    class Reads {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void seeWhatWasAcknowledgedBefore(long seed) throws Exception {
            try (RolloutLogFleet fleet = fleet(seed)) {
                Rollout begun = acknowledged(order(fleet, fleet.leader()));
                for (HostId host : RolloutLogFleet.CONTROL) {
                    assertEquals(begun, returned(fleet.awaitAnswer(fleet.read(host, SERVICE))), "seed " + seed);
                }
            }
        }

        /** A daemon that is cut off must not tell an operator the state of former times. */
        @Test
        void areUndecidedAtADaemonThatIsCutOff() throws Exception {
            try (RolloutLogFleet fleet = fleet(4)) {
                long number = acknowledged(order(fleet, fleet.leader())).number();
                HostId former = fleet.leader();
                fleet.cutOff(former, true);
                fleet.advance(4_000);
                finish(fleet, number, new RolloutPhase.Completed());
                assertEquals(Optional.of(ErrorKind.NO_QUORUM), refusal(fleet.awaitAnswer(fleet.read(former, SERVICE))));
            }
        }
    }

    /** Random losses while operators order and verdicts are given. {@code soak.seeds} sets the number of seeds. */
    @Nested
    class RandomFaults {
        private final Map<Long, Rollout> acknowledgedByNumber = new HashMap<>();

        private void recordAcknowledged(RolloutEffect answer, long seed) {
            if (answer instanceof RolloutEffect.AcknowledgeOrder order) {
                Rollout rollout = order.rollout();
                Rollout known = acknowledgedByNumber.computeIfAbsent(rollout.number(), number -> rollout);
                assertEquals(known.target(), rollout.target(), "seed " + seed);
            }
        }

        private void fault(RolloutLogFleet fleet, SplittableRandom random) throws InterruptedException {
            HostId host = RolloutLogFleet.CONTROL.get(random.nextInt(3));
            switch (random.nextInt(5)) {
                case 0 -> {
                    fleet.losePower();
                    fleet.startAll();
                }
                case 1 -> {
                    fleet.kill(host);
                    fleet.advance(random.nextInt(3_000));
                    fleet.startDaemon(host);
                }
                case 2 -> fleet.loseDisk(host);
                case 3 -> {
                    fleet.cutOff(host, true);
                    fleet.advance(random.nextInt(4_000));
                    fleet.cutOff(host, false);
                }
                default -> {
                    fleet.stallDisk(host, true);
                    fleet.advance(random.nextInt(4_000));
                    fleet.stallDisk(host, false);
                }
            }
        }

        static LongStream seeds() {
            return LongStream.rangeClosed(1, Integer.getInteger("soak.seeds", 10));
        }

        @ParameterizedTest
        @MethodSource("seeds")
        void loseNoAcknowledgedOrderAndTakeNoVerdictBack(long seed) throws Exception {
            SplittableRandom random = new SplittableRandom(seed);
            try (RolloutLogFleet fleet = fleet(seed)) {
                for (int round = 0; round < 8; round++) {
                    String target = "v" + round;
                    List<Long> tickets = new ArrayList<>();
                    for (HostId host : List.copyOf(fleet.running())) {
                        tickets.add(fleet.order(host, SERVICE, target, DURATION_MILLIS));
                        fleet.advance(10 * random.nextInt(12));
                    }
                    fault(fleet, random);
                    fleet.awaitLeader();
                    fleet.advance(6_000);
                    tickets.forEach(
                            ticket -> fleet.answer(ticket).ifPresent(answer -> recordAcknowledged(answer, seed)));
                    fleet.awaitLeader();
                    Rollout newest = readFromAnyDaemon(fleet);
                    long lastAcknowledged = acknowledgedByNumber.keySet().stream()
                            .mapToLong(number -> number)
                            .max()
                            .orElse(0);
                    assertTrue(newest.number() >= lastAcknowledged, "seed " + seed + ": lost " + lastAcknowledged);
                    if (random.nextBoolean()) {
                        finish(
                                fleet,
                                newest.number(),
                                random.nextBoolean()
                                        ? new RolloutPhase.Completed()
                                        : new RolloutPhase.RolledBack("round " + round));
                    }
                }
                assertFalse(acknowledgedByNumber.isEmpty(), "seed " + seed);
            }
        }
    }
}
