package org.plantainwharf.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.effect.DutyEffect;
import org.plantainwharf.event.DutyEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.replicated.Command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against two reports of the same window with different counts, and against windows that are never reported. */
class UsageControllerTest {
    private static final long WINDOW_MILLIS = 5_000;
    private static final long REPORT_DEADLINE_MILLIS = 10_000;
    private static final AccountName ACCOUNT = AccountName.of("acme");

    private final DutyHarness harness = new DutyHarness(
            "core-1",
            List.of(FencingController.create(3_000), UsageController.create(WINDOW_MILLIS, REPORT_DEADLINE_MILLIS)));
    private long window;

    @BeforeEach
    void holdDuties() {
        window = harness.wallMillis() / WINDOW_MILLIS;
        harness.becomeLeader(3);
        harness.decide(harness.takeProposals().getFirst());
    }

    private void receiveCounts(String host, long count) {
        harness.run(new PeerEvent.PeerMessageReceived(
                HostId.of(host), 1, new PeerMessage.UsageCounts(window, Map.of(ACCOUNT, count))));
    }

    /** Advances past the end of the window and returns the proposals of its counts, none of which is decided. */
    private List<ReplicationEvent.ProposalRequested> settle() {
        List<ReplicationEvent.ProposalRequested> proposals = new ArrayList<>();
        for (int step = 0; step < 22; step++) {
            harness.advanceTime(500);
            harness.tick();
            harness.takeProposals().stream()
                    .filter(proposal ->
                            proposal.command() instanceof Command.RecordUsage usage && usage.window() == window)
                    .forEach(proposals::add);
        }
        return proposals;
    }

    private static DutyEffect.ReportUsage report(List<DutyEffect> effects) {
        assertEquals(1, effects.size());
        return (DutyEffect.ReportUsage) effects.getFirst();
    }

    @Nested
    class Windows {
        @Test
        void areReportedWithTheSumOfAllDaemons() {
            receiveCounts("edge-1", 4);
            receiveCounts("edge-2", 5);
            receiveCounts("edge-1", 7);
            DutyEffect.ReportUsage sent = report(harness.decide(settle().getFirst()));
            assertEquals(Map.of(ACCOUNT, 12L), sent.requests());
            assertEquals(window, sent.window());
        }

        /** Counts that arrive after the commit must not change the report. */
        @Test
        void keepTheCountsThatWereCommittedFirst() {
            receiveCounts("edge-1", 4);
            List<ReplicationEvent.ProposalRequested> proposals = settle();
            report(harness.decide(proposals.getFirst()));
            receiveCounts("edge-2", 90);
            DutyEffect.ReportUsage again = report(harness.decide(proposals.getLast()));
            assertEquals(Map.of(ACCOUNT, 4L), again.requests());
        }

        @Test
        void areNotSentAgainOnceTheyAreAccepted() {
            receiveCounts("edge-1", 4);
            List<ReplicationEvent.ProposalRequested> proposals = settle();
            DutyEffect.ReportUsage sent = report(harness.decide(proposals.getFirst()));
            harness.run(new DutyEvent.UsageAnswered(window, sent.fencingNumber(), ProviderAnswer.DONE));
            assertTrue(harness.decide(proposals.getLast()).isEmpty());
        }

        @Test
        void areProposedAgainWithoutAnAnswer() {
            receiveCounts("edge-1", 4);
            assertTrue(settle().size() > 1);
        }
    }

    @Nested
    class DaemonsWithoutTheDuties {
        @Test
        void reportNothing() {
            receiveCounts("edge-1", 4);
            ReplicationEvent.ProposalRequested proposal = settle().getFirst();
            harness.becomeFollower(4);
            assertTrue(harness.decide(proposal).isEmpty());
        }
    }
}
