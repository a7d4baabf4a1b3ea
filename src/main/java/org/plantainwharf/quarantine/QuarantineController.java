package org.plantainwharf.quarantine;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.board.CallCompletion;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallState;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.AttemptProblem;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.DocumentEvent;
import org.plantainwharf.event.DutyEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.OperatorEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.PlatformEvent;
import org.plantainwharf.event.RegistryEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.RolloutEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.routing.InFlightAttempt;
import org.plantainwharf.server.ServerEntry;

/**
 * Detects requests that crash backend servers. A crash is a lost connection to a process that is then found to be gone:
 * its server announces another incarnation, or its lease ends without a reclaim notice. A request that was alone on the
 * server gets a full count. Requests that ran concurrently each get a partial count, which only makes them suspects.
 * Suspects run alone afterwards, so that a request that merely ran at the same time as another never gets a full count.
 * Two full counts quarantine the fingerprint, that is, all requests of the account with this content.
 *
 * <p>Counts are replicated in the control group by fingerprint, so that a request cannot evade the quarantine on
 * another host or under another request id. Stateless; its state is the {@link QuarantineSection}. Used by the control
 * thread only.
 */
public final class QuarantineController implements Controller {
    private static final double FULL_COUNT = 1;

    /**
     * Count that only marks a suspect. So small that the partial counts of half an hour never add up to a full count.
     */
    private static final double PARTIAL_COUNT = 0.001;

    /**
     * Time, in addition to the lease, after which a server that has kept its lease and incarnation counts as not
     * crashed.
     */
    private static final long CRASH_GRACE_NANOS = 2_000_000_000;

    private QuarantineController() {}

    public static QuarantineController create() {
        return new QuarantineController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case AttemptEvent attempt -> handleAttempt(attempt, board, nowNanos);
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent server -> resolvePossibleCrashes(board, nowNanos, effects);
            case ReplicationEvent replication -> handleReplication(replication, board, effects);
            case PlatformEvent platform -> handlePlatform(platform, board, nowNanos);
            case TimerEvent timer -> {
                resolvePossibleCrashes(board, nowNanos, effects);
                CrashReports.retryProposals(board, nowNanos, effects);
            }
            case CallEvent call -> {}
            case PeerEvent peer -> {}
            case StorageEvent storage -> {}
            case OperatorEvent operator -> {}
        }
    }

    private static void handleAttempt(AttemptEvent event, Board board, long nowNanos) {
        switch (event) {
            case AttemptEvent.AttemptFailed failed -> {
                if (failed.problem() instanceof AttemptProblem.ConnectionLost) {
                    board.routing()
                            .inFlightAttempt(failed.attempt())
                            .ifPresent(inFlight -> recordLostConnection(inFlight, board, nowNanos));
                }
            }
            case AttemptEvent.AttemptCompleted completed ->
                board.routing()
                        .inFlightAttempt(completed.attempt())
                        .filter(InFlightAttempt::suspect)
                        .ifPresent(inFlight -> board.quarantine()
                                .clearSuspect(inFlight.call().fingerprint(), board.wallClockMillis()));
            case AttemptEvent.AttemptSent sent -> {}
            case AttemptEvent.FirstTokenReceived first -> {}
            case AttemptEvent.TokensReceived tokens -> {}
        }
    }

    private static void recordLostConnection(InFlightAttempt inFlight, Board board, long nowNanos) {
        QuarantineSection section = board.quarantine();
        ServerEntry entry = inFlight.entry();
        PossibleCrash crash = section.possibleCrashes(entry.server(), inFlight.incarnation());
        if (crash == null) {
            crash = PossibleCrash.create(
                    entry.server(), inFlight.incarnation(), entry.zone(), inFlight.isAloneOnServer(), nowNanos);
            section.possibleCrashes().add(crash);
        }
        crash.lostRequests().add(inFlight.call().fingerprint());
    }

    private static void resolvePossibleCrashes(Board board, long nowNanos, Effects effects) {
        QuarantineSection section = board.quarantine();
        if (section.possibleCrashes().isEmpty()) {
            return;
        }
        List<PossibleCrash> crashed = new ArrayList<>();
        List<PossibleCrash> cleared = new ArrayList<>();
        for (PossibleCrash possible : section.possibleCrashes()) {
            @Nullable
            ServerEntry entry = board.servers().server(possible.server()).orElse(null);
            boolean leaving = entry != null
                    && entry.announcement().incarnation() == possible.incarnation()
                    && entry.announcement().leaving();
            if (leaving || section.reclaimNotices().containsKey(possible.server())) {
                effects.count("quarantine.reclaims_ignored");
                cleared.add(possible);
            } else if (entry != null && entry.announcement().incarnation() != possible.incarnation()) {
                crashed.add(possible);
            } else if (entry == null || nowNanos - entry.leaseUntilNanos() >= 0) {
                boolean zoneIsLost = isZoneLost(possible, board, nowNanos);
                (zoneIsLost ? cleared : crashed).add(possible);
                effects.count(zoneIsLost ? "quarantine.zone_losses_ignored" : "quarantine.leases_ended");
            } else if (nowNanos - possible.sinceNanos() > leaseNanos(board) + CRASH_GRACE_NANOS) {
                cleared.add(possible);
            }
        }
        section.possibleCrashes().removeAll(cleared);
        section.possibleCrashes().removeAll(crashed);
        crashed.forEach(crash -> report(crash, board, nowNanos, effects));
    }

    /**
     * Returns whether the zone was lost rather than a single server: another server of the zone lost its lease as well,
     * and no request of this possible crash was lost there. A platform that reclaims a zone may lose its notices.
     */
    private static boolean isZoneLost(PossibleCrash possible, Board board, long nowNanos) {
        QuarantineSection section = board.quarantine();
        for (ServerEntry other : board.servers().servers()) {
            boolean leaseExpired = other.zone().equals(possible.zone())
                    && !other.server().equals(possible.server())
                    && nowNanos - other.leaseUntilNanos() >= 0
                    && nowNanos - other.leaseUntilNanos() < leaseNanos(board) + CRASH_GRACE_NANOS;
            PossibleCrash otherCrash =
                    section.possibleCrashes(other.server(), other.announcement().incarnation());
            boolean sharesRequest = otherCrash != null
                    && otherCrash.lostRequests().stream().anyMatch(possible.lostRequests()::contains);
            boolean reported = section.hasCrashReport(other.server(), possible.lostRequests());
            if (leaseExpired && !sharesRequest && !reported) {
                return true;
            }
        }
        return false;
    }

    private static long leaseNanos(Board board) {
        return board.settings().timings().serverLeaseMillis() * 1_000_000;
    }

    private static void report(PossibleCrash crash, Board board, long nowNanos, Effects effects) {
        boolean full = crash.ranAlone() && crash.lostRequests().size() == 1;
        effects.count(full ? "quarantine.full_counts" : "quarantine.partial_counts");
        for (Fingerprint fingerprint : crash.lostRequests()) {
            CrashReports.report(
                    crash,
                    fingerprint,
                    full ? FULL_COUNT : PARTIAL_COUNT,
                    Command.ReportCrash.UNRESTRICTED,
                    board,
                    nowNanos,
                    effects);
        }
        board.quarantine().setProposedNanos(nowNanos);
    }

    private static void handleReplication(ReplicationEvent event, Board board, Effects effects) {
        switch (event) {
            case ReplicationEvent.EntryApplied applied -> {
                if (applied.group() == CrashReports.CONTROL_GROUP
                        && applied.command() instanceof Command.ReportCrash report) {
                    CrashReports.copyCommittedCounts(board);
                    refuseWaiting(report.fingerprint(), board, effects);
                } else if (applied.group() == CrashReports.CONTROL_GROUP
                        && (applied.command() instanceof Command.Expire
                                || applied.command() instanceof Command.WithdrawCrashes)) {
                    CrashReports.copyCommittedCounts(board);
                }
            }
            case ReplicationEvent.StateReplaced replaced -> {
                if (replaced.group() == CrashReports.CONTROL_GROUP) {
                    CrashReports.copyCommittedCounts(board);
                }
            }
            case ReplicationEvent.ProposalRequested requested -> {}
            case ReplicationEvent.ProposalDecided decided -> {}
            case ReplicationEvent.ProposalFailed failed -> {}
            case ReplicationEvent.QueryRequested requested -> {}
            case ReplicationEvent.QueryAnswered answered -> {}
            case ReplicationEvent.QueryFailed failed -> {}
            case ReplicationEvent.LeadershipChanged changed -> {}
        }
    }

    /**
     * Refuses waiting calls with a fingerprint that is quarantined now; the record package releases the intents of
     * orders.
     */
    private static void refuseWaiting(Fingerprint fingerprint, Board board, Effects effects) {
        if (!board.quarantine().isQuarantined(fingerprint, board.wallClockMillis())) {
            return;
        }
        List<CallEntry> waiting = board.calls().calls().stream()
                .filter(entry -> entry.call().fingerprint().equals(fingerprint))
                .filter(entry -> entry.state() instanceof CallState.Queued || entry.state() instanceof CallState.Ready)
                .toList();
        for (CallEntry entry : waiting) {
            CallCompletion.fail(
                    board,
                    effects,
                    entry,
                    Failure.of(ErrorKind.REQUEST_QUARANTINED)
                            .withExecutionStatus(
                                    board.retry().ranSoFar(entry.call().id())));
        }
    }

    private static void handlePlatform(PlatformEvent event, Board board, long nowNanos) {
        switch (event) {
            case PlatformEvent.ServerReclaimNoticed noticed ->
                board.quarantine().reclaimNotices().put(noticed.server(), nowNanos);
            case PlatformEvent.HostReclaimNoticed noticed -> {}
            case PlatformEvent.HostStarted started -> {}
            case PlatformEvent.HostStartRefused refused -> {}
        }
    }
}
