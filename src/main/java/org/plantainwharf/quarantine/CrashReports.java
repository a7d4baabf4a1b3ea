package org.plantainwharf.quarantine;

import org.plantainwharf.board.Board;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.replicated.Command;

/**
 * Proposes crash reports to the control group, so that every daemon learns of them and they survive the loss of the
 * daemon that saw the crash. Stateless; reports without a decision are kept in the {@link QuarantineSection}.
 */
final class CrashReports {
    static final int CONTROL_GROUP = 0;

    private static final String PROPOSAL_PREFIX = "crash/";

    private static final long PROPOSAL_RETRY_NANOS = 2_000_000_000;

    private CrashReports() {}

    /**
     * Attributes a crash to content.
     *
     * @param share 1 if the crash counts in full
     * @param precedingCrashes as in {@link Command.ReportCrash}
     */
    static void report(
            PossibleCrash crash,
            Fingerprint content,
            double share,
            int precedingCrashes,
            Board board,
            long nowNanos,
            Effects effects) {
        String reportId = reportId(crash.server(), crash.incarnation(), content);
        Command.ReportCrash report =
                new Command.ReportCrash(reportId, content, share, precedingCrashes, board.wallClockMillis());
        board.quarantine().uncommittedReports().put(reportId, report);
        recordCrash(report, board, nowNanos);
        propose(report, effects);
    }

    /** Returns an id that is equal on all hosts that lost requests with this content in the same crash. */
    private static String reportId(ServerId server, long incarnation, Fingerprint fingerprint) {
        return server.value() + "/" + incarnation + "/" + fingerprint.value();
    }

    /** Returns the part of a report's id that all reports of one crash have in common. */
    static String crashId(String reportId, Fingerprint fingerprint) {
        return reportId.substring(0, reportId.length() - fingerprint.value().length() - 1);
    }

    private static void propose(Command.ReportCrash report, Effects effects) {
        effects.post(
                new ReplicationEvent.ProposalRequested(PROPOSAL_PREFIX + report.reportId(), CONTROL_GROUP, report));
    }

    /** Returns the id of the report that was proposed under this id; not a report's id for other proposals. */
    static String reportIdOf(String proposalId) {
        return proposalId.startsWith(PROPOSAL_PREFIX) ? proposalId.substring(PROPOSAL_PREFIX.length()) : "";
    }

    /** Proposes uncommitted reports again, because the majority may have been unreachable. */
    static void retryProposals(Board board, long nowNanos, Effects effects) {
        QuarantineSection section = board.quarantine();
        boolean due =
                section.proposedNanos() == Long.MIN_VALUE || nowNanos - section.proposedNanos() >= PROPOSAL_RETRY_NANOS;
        if (due) {
            section.setProposedNanos(nowNanos);
            section.expire(nowNanos, board.wallClockMillis());
            section.uncommittedReports().values().forEach(report -> propose(report, effects));
        }
    }

    /** Records the crash of a report, also if the report is not attributed to its content. */
    static void recordCrash(Command.ReportCrash report, Board board, long nowNanos) {
        board.quarantine()
                .crashHistory()
                .record(crashId(report.reportId(), report.fingerprint()), report.wallClockMillis(), nowNanos);
    }

    /** Records the crashes that the replicated counts include, for a daemon that did not see their reports. */
    static void recordCommittedCrashes(Board board, long nowNanos) {
        board.configuration().state().crashes().forEach(crashes -> crashes.reportIds()
                .forEach(reportId -> board.quarantine()
                        .crashHistory()
                        .record(crashId(reportId, crashes.fingerprint()), crashes.lastMillis(), nowNanos)));
    }

    /** Copies the replicated counts to the section. */
    static void copyCommittedCounts(Board board) {
        board.quarantine().setCommittedCounts(board.configuration().state().crashes());
    }
}
