package org.plantainwharf.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.PeriodicTimer;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.event.AttemptEvent;
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
import org.plantainwharf.forward.ForwardCall;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.registry.KnownServer;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;
import org.plantainwharf.replicated.Command;

/**
 * Detects contents of forwarded requests that crash servers. A crash is a lost connection to a server whose address
 * then accepts no connections, or at which another start of a server reports. Every content that the server had just
 * begun to process and that is not known to be harmless is reported to the control group. {@link CrashAttribution}
 * blames contents for crashes; a run without a crash withdraws the reports on its contents.
 *
 * <p>Must handle an event before the forward controller, which ends the attempt that the event is about. Runs on the
 * control thread.
 */
public final class ForwardQuarantineController implements Controller {
    /** A server that has written an answer for this long did not crash on beginning it. */
    private static final long SOUND_ANSWER_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time after which a lost connection without further signs does not count as a crash. */
    private static final long POSSIBLE_CRASH_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long SOUND_ANSWER_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * Upper bound of the random delay before an objection, so that one daemon's objection is usually committed before
     * the others send theirs.
     */
    private static final int OBJECTION_DELAY_MILLIS = 150;

    /** Contents reported for one crash by one daemon; more share the server than can be told apart. */
    private static final int MAXIMUM_REPORTS_PER_CRASH = 32;

    /** Count of a crash while the server was answering a request with the content. */
    private static final double ANSWERING_COUNT = 1;

    /** Count of a crash before the answer began as far as this daemon knows; its beginning may have been lost. */
    private static final double WAITING_COUNT = 0.5;

    private static final int MISDIRECTED_REQUEST = 421;

    private final PeriodicTimer soundAnswerPeriod = PeriodicTimer.ofNanos(SOUND_ANSWER_PERIOD_NANOS);

    private ForwardQuarantineController() {}

    public static ForwardQuarantineController create() {
        return new ForwardQuarantineController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent forward -> onForward(forward, board, nowNanos, effects);
            case ReplicationEvent replication -> onReplication(replication, board, nowNanos, effects);
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case DutyEvent ignored -> {}
            case PeerEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private static void onForward(ForwardEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent.ForwardArrived arrived -> {}
            case ForwardEvent.ForwardLeft left -> {}
            case ForwardEvent.ForwardBegan began ->
                board.forward()
                        .call(began.ticket())
                        .flatMap(call -> runningAttempt(call, began.attempt()))
                        .ifPresent(running -> recordResponse(running, board));
            case ForwardEvent.ServerNoticed noticed -> {}
            case ForwardEvent.StreamBegan streamBegan -> {}
            case ForwardEvent.OriginDoubted doubted -> {}
            case ForwardEvent.OriginRequested requested -> {}
            case ForwardEvent.OriginDecided decided -> {}
            case ForwardEvent.ConnectionChecked checked -> {}
            case ForwardEvent.ServerUnreachable unreachable ->
                confirmCrash(unreachable.server(), "refuses_connections", board, nowNanos, effects);
            case ForwardEvent.ForwardEnded ended ->
                board.forward().call(ended.ticket()).ifPresent(call -> runningAttempt(call, ended.attempt())
                        .ifPresent(running -> onAttemptEnded(call, running, ended, board, nowNanos, effects)));
        }
    }

    private static Optional<ForwardCall.State.Running> runningAttempt(ForwardCall call, int attempt) {
        return call.state() instanceof ForwardCall.State.Running running && running.attempt() == attempt
                ? Optional.of(running)
                : Optional.empty();
    }

    private static void onAttemptEnded(
            ForwardCall call,
            ForwardCall.State.Running running,
            ForwardEvent.ForwardEnded ended,
            Board board,
            long nowNanos,
            Effects effects) {
        switch (ended.outcome()) {
            case ForwardOutcome.Completed completed -> {
                recordResponse(running, board);
                if (completed.endedByClose() && !isSoundAnswer(running, nowNanos)) {
                    recordPossibleLoss(call, running, board, nowNanos);
                } else {
                    recordSoundRun(call, board, nowNanos);
                }
            }
            case ForwardOutcome.Failed failed -> recordResponse(running, board);
            case ForwardOutcome.Refused refused -> {
                if (refused.httpStatus() != MISDIRECTED_REQUEST) {
                    recordResponse(running, board);
                }
            }
            case ForwardOutcome.Cancelled cancelled -> {}
            case ForwardOutcome.Withheld withheld -> {}
            case ForwardOutcome.NotSent notSent -> {
                if (notSent.connectionRefused()) {
                    confirmCrash(running.server(), "refuses_connections", board, nowNanos, effects);
                }
            }
            case ForwardOutcome.Broken broken -> {
                if (broken.connectionLost()) {
                    recordLoss(call, running, board, nowNanos, effects);
                }
            }
        }
    }

    /** A response to a request that was sent after the loss shows that the server's process still exists. */
    private static void recordResponse(ForwardCall.State.Running running, Board board) {
        board.quarantine()
                .possibleCrashes()
                .removeIf(crash -> !crash.confirmed()
                        && crash.server().equals(running.server())
                        && running.sentNanos() - crash.sinceNanos() > 0);
    }

    private static void recordSoundRun(ForwardCall call, Board board, long nowNanos) {
        QuarantineSection section = board.quarantine();
        List<Fingerprint> contents = call.head().fingerprints();
        section.soundRuns().record(contents, nowNanos);
        for (Fingerprint content : contents) {
            if (!section.committedReports(content).isEmpty()) {
                section.withdrawalDueNanos().putIfAbsent(content, nowNanos);
            }
        }
    }

    private static void recordLoss(
            ForwardCall call, ForwardCall.State.Running running, Board board, long nowNanos, Effects effects) {
        @Nullable KnownServer server = board.registry().server(running.server()).orElse(null);
        if (server == null) {
            return;
        }
        if (isLeaving(server)) {
            effects.count("quarantine.reclaims_ignored");
            return;
        }
        if (isSoundAnswer(running, nowNanos)) {
            recordSoundRun(call, board, nowNanos);
            return;
        }
        PossibleCrash crash = possibleCrash(running.server(), server, board, nowNanos);
        if (crash.markProbed()) {
            effects.count("quarantine.lost_servers");
            effects.add(new ForwardEffect.ProbeServer(
                    call.ticket(), running.server(), server.report().address()));
        }
        for (Fingerprint content : call.head().fingerprints()) {
            boolean added = crash.addLost(content, running.sentNanos(), running.answerStarted());
            if (added && crash.confirmed()) {
                reportIfSuspect(crash, content, board, nowNanos, effects);
            }
        }
        if (crash.confirmed()) {
            updateBlame(board, nowNanos, effects);
        }
    }

    private static PossibleCrash possibleCrash(ServerId id, KnownServer server, Board board, long nowNanos) {
        QuarantineSection section = board.quarantine();
        long start = server.report().startEpochMillis();
        PossibleCrash crash = section.possibleCrashes(id, start);
        if (crash == null) {
            crash = PossibleCrash.create(id, start, server.report().zone(), false, nowNanos);
            section.possibleCrashes().add(crash);
        }
        return crash;
    }

    /**
     * Records an answer that ended with its connection, which may have been a crash. The server is not probed for it,
     * since most such answers are complete; other signs of a crash suffice.
     */
    private static void recordPossibleLoss(
            ForwardCall call, ForwardCall.State.Running running, Board board, long nowNanos) {
        board.registry()
                .server(running.server())
                .filter(server -> !isLeaving(server))
                .map(server -> possibleCrash(running.server(), server, board, nowNanos))
                .ifPresent(crash -> call.head()
                        .fingerprints()
                        .forEach(content -> crash.addLost(content, running.sentNanos(), true)));
    }

    private static boolean isLeaving(KnownServer server) {
        return !server.ready() || announcesItsEnd(server.report());
    }

    /** Returns whether a server says that it is about to end, so that lost connections to it are no crash. */
    private static boolean announcesItsEnd(ServerReport report) {
        return report.phase() == ServerPhase.LEAVING
                || report.millisUntilReclaim().isPresent();
    }

    private static boolean isSoundAnswer(ForwardCall.State.Running running, long nowNanos) {
        return running.answerStarted()
                && nowNanos - running.answerStartedNanos().getAsLong() >= SOUND_ANSWER_NANOS;
    }

    /** Confirms the crash of a server to which a connection was lost. Has no effect for other servers. */
    private static void confirmCrash(ServerId server, String sign, Board board, long nowNanos, Effects effects) {
        for (PossibleCrash crash : board.quarantine().possibleCrashes()) {
            if (crash.server().equals(server) && !crash.confirmed() && !announcedItsEnd(crash, board)) {
                confirm(crash, sign, board, nowNanos, effects);
            }
        }
    }

    private static void confirm(PossibleCrash crash, String sign, Board board, long nowNanos, Effects effects) {
        crash.confirm();
        effects.count("quarantine.crashes");
        effects.log(
                "server_crashed",
                "server",
                crash.server(),
                "start",
                crash.incarnation(),
                "sign",
                sign,
                "contents",
                crash.lostRequests().size());
        crash.lostRequests().stream()
                .limit(MAXIMUM_REPORTS_PER_CRASH)
                .forEach(content -> reportIfSuspect(crash, content, board, nowNanos, effects));
        updateBlame(board, nowNanos, effects);
    }

    /**
     * Reports a content unless it is known to be harmless. Servers that crash together for another reason have most
     * contents in common, so a request that was sent before the last crash attributed to the content was known shows
     * nothing new, unless it was being answered and its content is unusual here.
     */
    private static void reportIfSuspect(
            PossibleCrash crash, Fingerprint content, Board board, long nowNanos, Effects effects) {
        QuarantineSection section = board.quarantine();
        if (section.soundRuns().includes(content, nowNanos)) {
            return;
        }
        boolean unusual = crash.wasAnswering(content) && section.soundRuns().areMeaningful(nowNanos);
        if (!unusual && !section.sentAfterAttributions(content, crash.lastSentNanos(content))) {
            return;
        }
        effects.count("quarantine.crash_reports");
        effects.log(
                "crash_reported",
                "server",
                crash.server(),
                "start",
                crash.incarnation(),
                "content",
                content.value(),
                "crashes",
                section.attributedCrashes(content) + 1);
        int precedingCrashes = unusual ? Command.ReportCrash.UNRESTRICTED : section.attributedCrashes(content);
        double count = crash.wasAnswering(content) ? ANSWERING_COUNT : WAITING_COUNT;
        CrashReports.report(crash, content, count, precedingCrashes, board, nowNanos, effects);
        section.recordAttribution(content, nowNanos);
    }

    private static void updateBlame(Board board, long nowNanos, Effects effects) {
        for (Fingerprint content : board.quarantine().updateBlame(nowNanos, board.wallClockMillis())) {
            effects.count("quarantine.contents_blamed");
            effects.log(
                    "content_blamed",
                    "content",
                    content.value(),
                    "crashes",
                    board.quarantine().committedReports(content).size());
        }
    }

    private static void onReplication(ReplicationEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent.EntryApplied applied -> {
                if (applied.group() != CrashReports.CONTROL_GROUP) {
                    return;
                }
                if (applied.command() instanceof Command.ReportCrash report) {
                    board.quarantine().uncommittedReports().remove(report.reportId());
                    CrashReports.recordCrash(report, board, nowNanos);
                    CrashReports.copyCommittedCounts(board);
                    board.quarantine().recordAttribution(report.fingerprint(), nowNanos);
                    scheduleObjection(report.fingerprint(), board, nowNanos);
                    updateBlame(board, nowNanos, effects);
                } else if (applied.command() instanceof Command.WithdrawCrashes
                        || applied.command() instanceof Command.Expire) {
                    CrashReports.copyCommittedCounts(board);
                    updateBlame(board, nowNanos, effects);
                }
            }
            case ReplicationEvent.StateReplaced replaced -> {
                if (replaced.group() == CrashReports.CONTROL_GROUP) {
                    CrashReports.recordCommittedCrashes(board, nowNanos);
                    CrashReports.copyCommittedCounts(board);
                    updateBlame(board, nowNanos, effects);
                }
            }
            case ReplicationEvent.ProposalRequested requested -> {}
            case ReplicationEvent.ProposalDecided decided ->
                board.quarantine().uncommittedReports().remove(CrashReports.reportIdOf(decided.proposalId()));
            case ReplicationEvent.ProposalFailed failed -> {}
            case ReplicationEvent.QueryRequested requested -> {}
            case ReplicationEvent.QueryAnswered answered -> {}
            case ReplicationEvent.QueryFailed failed -> {}
            case ReplicationEvent.LeadershipChanged changed -> {}
        }
    }

    private static void scheduleObjection(Fingerprint content, Board board, long nowNanos) {
        QuarantineSection section = board.quarantine();
        if (section.soundRuns().includes(content, nowNanos)) {
            long delayMillis = board.random().nextInt(OBJECTION_DELAY_MILLIS);
            section.withdrawalDueNanos().putIfAbsent(content, nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis));
        }
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        resolvePossibleCrashes(board, nowNanos, effects);
        if (soundAnswerPeriod.startIfDue(nowNanos)) {
            for (ForwardCall call : board.forward().calls()) {
                if (call.state() instanceof ForwardCall.State.Running running && isSoundAnswer(running, nowNanos)) {
                    recordSoundRun(call, board, nowNanos);
                }
            }
        }
        sendObjections(board, nowNanos, effects);
        CrashReports.retryProposals(board, nowNanos, effects);
    }

    private static void resolvePossibleCrashes(Board board, long nowNanos, Effects effects) {
        List<PossibleCrash> crashes = board.quarantine().possibleCrashes();
        crashes.removeIf(crash -> nowNanos - crash.sinceNanos() >= POSSIBLE_CRASH_EXPIRY_NANOS
                || (!crash.confirmed() && announcedItsEnd(crash, board)));
        for (PossibleCrash crash : new ArrayList<>(crashes)) {
            if (!crash.confirmed() && hasStartedAgain(crash, board)) {
                confirm(crash, "started_again", board, nowNanos, effects);
            }
        }
    }

    private static boolean announcedItsEnd(PossibleCrash crash, Board board) {
        return board.registry()
                .server(crash.server())
                .map(KnownServer::report)
                .filter(report -> report.startEpochMillis() == crash.incarnation() && announcesItsEnd(report))
                .isPresent();
    }

    /** Returns whether a later start reports under the server's id, or another server at its address. */
    private static boolean hasStartedAgain(PossibleCrash crash, Board board) {
        return board.registry()
                .server(crash.server())
                .map(KnownServer::report)
                .filter(report -> report.startEpochMillis() > crash.incarnation()
                        || (report.phase() == ServerPhase.GONE && isReported(report.address(), board)))
                .isPresent();
    }

    /** Returns whether a server that accepts work reports this address. */
    private static boolean isReported(String address, Board board) {
        return board.registry().servers().stream()
                .anyMatch(server -> server.ready() && server.report().address().equals(address));
    }

    /** Withdraws the reports on contents that this daemon has seen run without a crash. */
    private static void sendObjections(Board board, long nowNanos, Effects effects) {
        QuarantineSection section = board.quarantine();
        List<Fingerprint> due = section.withdrawalDueNanos().entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        for (Fingerprint content : due) {
            section.withdrawalDueNanos().remove(content);
            Set<String> reports = section.committedReports(content);
            if (!reports.isEmpty()) {
                effects.count("quarantine.withdrawals");
                effects.log("crash_reports_withdrawn", "content", content.value(), "crashes", reports.size());
                String proposal = "withdraw/" + board.settings().host() + "/" + content.value() + "/" + reports.size();
                effects.post(new ReplicationEvent.ProposalRequested(
                        proposal, CrashReports.CONTROL_GROUP, new Command.WithdrawCrashes(content, reports)));
            }
        }
    }
}
