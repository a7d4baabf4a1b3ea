package org.plantainwharf.duty;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.DutyEvent;
import org.plantainwharf.event.ReplicationEvent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against two duty holders with the same fencing number, and against a daemon that acts as duty holder after it
 * lost the leadership or a higher number was used.
 */
class FencingControllerTest {
    private static final long LEASE_MILLIS = 3_000;

    private final DutyHarness harness = new DutyHarness("core-1", List.of(FencingController.create(LEASE_MILLIS)));

    private ReplicationEvent.ProposalRequested onlyProposal() {
        List<ReplicationEvent.ProposalRequested> proposals = harness.takeProposals();
        assertEquals(1, proposals.size());
        return proposals.getFirst();
    }

    private static void waitForTheLease(DutyHarness waiting) {
        for (long waited = 0; waited < LEASE_MILLIS; waited += 50) {
            waiting.advanceTime(50);
            waiting.tick();
        }
    }

    private OptionalLong heldFencingNumber() {
        return harness.board().duties().fencingNumber();
    }

    @Nested
    class Leaders {
        @Test
        void holdTheDutiesOnceTheNumberIsCommitted() {
            harness.becomeLeader(3);
            assertEquals(OptionalLong.empty(), heldFencingNumber());
            harness.decide(onlyProposal());
            assertTrue(heldFencingNumber().isPresent());
        }

        @Test
        void takeAHigherNumberInEachTerm() {
            harness.becomeLeader(3);
            harness.decide(onlyProposal());
            long first = heldFencingNumber().orElseThrow();
            harness.becomeFollower(4);
            harness.becomeLeader(5);
            harness.decide(onlyProposal());
            waitForTheLease(harness);
            assertTrue(heldFencingNumber().orElseThrow() > first);
        }

        @Test
        void proposeAgainAfterAFailure() {
            harness.becomeLeader(3);
            harness.run(new ReplicationEvent.ProposalFailed(onlyProposal().proposalId(), ErrorKind.NO_QUORUM));
            harness.tick();
            harness.decide(onlyProposal());
            assertTrue(heldFencingNumber().isPresent());
        }

        @Test
        void proposeOnceWhileOneIsUnderWay() {
            harness.becomeLeader(3);
            harness.tick();
            harness.tick();
            onlyProposal();
        }
    }

    @Nested
    class FormerLeaders {
        @Test
        void releaseTheDutiesAtOnce() {
            harness.becomeLeader(3);
            harness.decide(onlyProposal());
            harness.becomeFollower(4);
            assertEquals(OptionalLong.empty(), heldFencingNumber());
        }

        /** A number that is committed late belongs to a term that has ended. */
        @Test
        void ignoreANumberOfAnEarlierTerm() {
            harness.becomeLeader(3);
            ReplicationEvent.ProposalRequested late = onlyProposal();
            harness.becomeFollower(4);
            harness.decide(late);
            assertEquals(OptionalLong.empty(), heldFencingNumber());
        }
    }

    /**
     * The platform forbids that holders act in the order A, B, A within a lease. Elections may follow each other more
     * quickly, for example while all daemons start.
     */
    @Nested
    class Successors {
        @Test
        void doNotActWithinALeaseAfterTheyTookTheDuties() {
            harness.becomeLeader(3);
            harness.decide(onlyProposal());
            harness.becomeFollower(4);
            harness.becomeLeader(5);
            harness.decide(onlyProposal());
            for (long waited = 50; waited < LEASE_MILLIS; waited += 50) {
                harness.advanceTime(50);
                harness.tick();
                assertEquals(OptionalLong.empty(), heldFencingNumber());
            }
            harness.advanceTime(50);
            harness.tick();
            assertTrue(heldFencingNumber().isPresent());
        }

        @Test
        void thatLoseTheLeadershipWhileTheyWaitNeverAct() {
            harness.becomeLeader(3);
            harness.decide(onlyProposal());
            harness.becomeFollower(4);
            harness.becomeLeader(5);
            harness.decide(onlyProposal());
            harness.becomeFollower(6);
            waitForTheLease(harness);
            assertEquals(OptionalLong.empty(), heldFencingNumber());
        }
    }

    /** Another daemon may have taken the duties while this one stood still. */
    @Nested
    class PausedHolders {
        private long held;

        @BeforeEach
        void holdDuties() {
            harness.becomeLeader(3);
            harness.decide(onlyProposal());
            harness.tick();
            held = heldFencingNumber().orElseThrow();
        }

        @Test
        void releaseTheDutiesBeforeAnyoneActsOnTheNextTick() {
            harness.advanceTime(2_000);
            harness.tick();
            assertEquals(OptionalLong.empty(), heldFencingNumber());
        }

        /** The monotonic clock of a suspended host stands still. */
        @Test
        void releaseTheDutiesAfterASuspension() {
            harness.advanceWallClock(5_000);
            harness.tick();
            assertEquals(OptionalLong.empty(), heldFencingNumber());
        }

        @Test
        void holdTheirNumberAgainOnceTheGroupCommitsIt() {
            harness.advanceTime(2_000);
            harness.tick();
            harness.decide(onlyProposal());
            assertEquals(OptionalLong.of(held), heldFencingNumber());
        }

        @Test
        void thatWereReplacedMeanwhileDoNot() {
            harness.advanceTime(2_000);
            harness.tick();
            harness.run(new ReplicationEvent.ProposalFailed(onlyProposal().proposalId(), ErrorKind.NO_QUORUM));
            harness.becomeFollower(4);
            harness.tick();
            assertEquals(OptionalLong.empty(), heldFencingNumber());
        }

        @Test
        void keepTheDutiesOverALateTick() {
            harness.advanceTime(400);
            harness.tick();
            assertEquals(OptionalLong.of(held), heldFencingNumber());
        }
    }

    @Nested
    class Conflicts {
        @Test
        void withTheNumberHeldReleaseTheDuties() {
            harness.becomeLeader(3);
            harness.decide(onlyProposal());
            long number = heldFencingNumber().orElseThrow();
            harness.run(new DutyEvent.UsageAnswered(9, number, ProviderAnswer.CONFLICT));
            assertEquals(OptionalLong.empty(), heldFencingNumber());
        }

        /** A conflict with an earlier number does not concern the present one. */
        @Test
        void withAnEarlierNumberChangeNothing() {
            harness.becomeLeader(3);
            harness.decide(onlyProposal());
            long number = heldFencingNumber().orElseThrow();
            harness.run(new DutyEvent.UsageAnswered(9, number - 1, ProviderAnswer.CONFLICT));
            assertEquals(OptionalLong.of(number), heldFencingNumber());
        }
    }

    @Nested
    class TwoDaemons {
        /** Both apply the same log; the numbers must differ although each daemon makes its own request. */
        @Test
        void neverReceiveTheSameNumber() {
            DutyHarness other = new DutyHarness("core-2", List.of(FencingController.create(LEASE_MILLIS)));
            harness.becomeLeader(3);
            ReplicationEvent.ProposalRequested first = onlyProposal();
            other.becomeLeader(4);
            ReplicationEvent.ProposalRequested second = other.takeProposals().getFirst();
            harness.decide(first);
            long firstNumber = heldFencingNumber().orElseThrow();
            other.board().configuration().state().apply(first.command());
            other.decide(second);
            waitForTheLease(other);
            assertTrue(other.board().duties().fencingNumber().orElseThrow() > firstNumber);
            assertEquals(Map.of(), other.board().duties().usage(0));
        }
    }
}
