package org.plantainwharf.duty;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.DutyEvent;
import org.plantainwharf.event.ReplicationEvent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against two holders of the duties with one fencing number, and against a holder that lost them. */
class FencingControllerTest {
    private final DutyHarness harness = new DutyHarness("core-1", List.of(FencingController.create()));

    private ReplicationEvent.ProposalRequested onlyProposal() {
        List<ReplicationEvent.ProposalRequested> proposals = harness.takeProposals();
        assertEquals(1, proposals.size());
        return proposals.getFirst();
    }

    private OptionalLong held() {
        return harness.board().duties().fencingNumber();
    }

    @Nested
    class Leaders {
        @Test
        void holdTheDutiesOnceTheNumberIsCommitted() {
            harness.lead(3);
            assertEquals(OptionalLong.empty(), held());
            harness.decide(onlyProposal());
            assertTrue(held().isPresent());
        }

        @Test
        void takeAHigherNumberInEachTerm() {
            harness.lead(3);
            harness.decide(onlyProposal());
            long first = held().orElseThrow();
            harness.follow(4);
            harness.lead(5);
            harness.decide(onlyProposal());
            assertTrue(held().orElseThrow() > first);
        }

        @Test
        void proposeAgainAfterAFailure() {
            harness.lead(3);
            harness.run(new ReplicationEvent.ProposalFailed(onlyProposal().proposalId(), ErrorKind.NO_QUORUM));
            harness.tick();
            harness.decide(onlyProposal());
            assertTrue(held().isPresent());
        }

        @Test
        void proposeOnceWhileOneIsUnderWay() {
            harness.lead(3);
            harness.tick();
            harness.tick();
            onlyProposal();
        }
    }

    @Nested
    class FormerLeaders {
        @Test
        void releaseTheDutiesAtOnce() {
            harness.lead(3);
            harness.decide(onlyProposal());
            harness.follow(4);
            assertEquals(OptionalLong.empty(), held());
        }

        /** The number that was committed late belongs to a term that is over. */
        @Test
        void ignoreANumberOfAnEarlierTerm() {
            harness.lead(3);
            ReplicationEvent.ProposalRequested late = onlyProposal();
            harness.follow(4);
            harness.decide(late);
            assertEquals(OptionalLong.empty(), held());
        }
    }

    @Nested
    class Conflicts {
        @Test
        void withTheNumberHeldReleaseTheDuties() {
            harness.lead(3);
            harness.decide(onlyProposal());
            long number = held().orElseThrow();
            harness.run(new DutyEvent.UsageAnswered(9, number, ProviderAnswer.CONFLICT));
            assertEquals(OptionalLong.empty(), held());
        }

        /** An answer to a call under an earlier number says nothing of the present one. */
        @Test
        void withAnEarlierNumberChangeNothing() {
            harness.lead(3);
            harness.decide(onlyProposal());
            long number = held().orElseThrow();
            harness.run(new DutyEvent.UsageAnswered(9, number - 1, ProviderAnswer.CONFLICT));
            assertEquals(OptionalLong.of(number), held());
        }
    }

    @Nested
    class TwoDaemons {
        /** Both apply the same log; the numbers must differ although each asks on its own. */
        @Test
        void neverGetTheSameNumber() {
            DutyHarness other = new DutyHarness("core-2", List.of(FencingController.create()));
            harness.lead(3);
            ReplicationEvent.ProposalRequested first = onlyProposal();
            other.lead(4);
            ReplicationEvent.ProposalRequested second = other.takeProposals().getFirst();
            harness.decide(first);
            long firstNumber = held().orElseThrow();
            other.board().configuration().state().apply(first.command());
            other.decide(second);
            assertTrue(other.board().duties().fencingNumber().orElseThrow() > firstNumber);
            assertEquals(Map.of(), other.board().duties().usage(0));
        }
    }
}
