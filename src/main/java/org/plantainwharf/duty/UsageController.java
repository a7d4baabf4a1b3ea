package org.plantainwharf.duty;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.PeriodicTimer;
import org.plantainwharf.document.AccountRule;
import org.plantainwharf.effect.DutyEffect;
import org.plantainwharf.effect.Effects;
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
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.membership.LinkedPeers;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;

/**
 * Counts the requests that began to run, by account and window, and publishes the counts to all linked daemons. The
 * duty holder reports each window to the cloud API until the report is accepted. It commits the counts of a window
 * before it reports them, so that a later duty holder reports the same ones. Only the window numbers depend on the time
 * of day. Runs on the control thread, before the forward controller, which removes ended calls.
 */
public final class UsageController implements Controller {
    private static final int CONTROL_GROUP = 0;

    /**
     * Period at which a daemon publishes its counts; a daemon that is killed loses the counts of at most one period.
     */
    private static final long PUBLISH_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /**
     * Time after the end of a window until its last counts have arrived: one publish period and the delay of a link.
     */
    private static final long SETTLE_DELAY_MILLIS = 2_500;

    /** Time after which the counts of a window without an accepted report are proposed and reported again. */
    private static final long RESEND_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private final long windowMillis;
    private final long reportDeadlineMillis;
    private final TreeMap<Long, Map<AccountName, Long>> ownCounts = new TreeMap<>();
    private final Set<Long> countedCalls = new HashSet<>();
    private final Set<Long> reported = new HashSet<>();
    private final Map<Long, Long> proposedNanos = new HashMap<>();
    private final PeriodicTimer publishPeriod = PeriodicTimer.ofNanos(PUBLISH_PERIOD_NANOS);

    private UsageController(long windowMillis, long reportDeadlineMillis) {
        this.windowMillis = windowMillis;
        this.reportDeadlineMillis = reportDeadlineMillis;
    }

    /**
     * Creates the controller.
     *
     * @param windowMillis length of a window
     * @param reportDeadlineMillis time after the end of a window at which its report is late
     */
    public static UsageController create(long windowMillis, long reportDeadlineMillis) {
        return new UsageController(windowMillis, reportDeadlineMillis);
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent forward -> count(forward, board);
            case PeerEvent.PeerMessageReceived received -> {
                if (received.message() instanceof PeerMessage.UsageCounts counts) {
                    board.duties().putUsage(counts.window(), received.peer(), counts.requests());
                }
            }
            case PeerEvent ignored -> {}
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case ReplicationEvent.ProposalDecided decided -> {
                if (decided.result() instanceof CommandResult.UsageRecorded recorded) {
                    reportUsage(recorded, board, effects);
                }
            }
            case ReplicationEvent ignored -> {}
            case DutyEvent duty -> onDuty(duty, effects);
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private void count(ForwardEvent event, Board board) {
        Optional<ForwardCall> call = board.forward().call(event.ticket());
        switch (event) {
            case ForwardEvent.ForwardBegan began -> call.ifPresent(running -> count(running, board));
            case ForwardEvent.ForwardEnded ended -> {
                if (ended.outcome() instanceof ForwardOutcome.Failed) {
                    call.ifPresent(running -> count(running, board));
                }
            }
            case ForwardEvent.ForwardArrived arrived -> {}
            case ForwardEvent.ForwardLeft left -> {}
            case ForwardEvent.ServerNoticed noticed -> {}
            case ForwardEvent.ServerUnreachable unreachable -> {}
            case ForwardEvent.StreamBegan streamBegan -> {}
            case ForwardEvent.OriginDoubted doubted -> {}
            case ForwardEvent.OriginRequested requested -> {}
            case ForwardEvent.OriginDecided decided -> {}
            case ForwardEvent.ConnectionChecked checked -> {}
        }
    }

    private void count(ForwardCall call, Board board) {
        // Another entry daemon counts a request that was handed over to it.
        if (!call.isHandedOver() && call.account().isPresent() && countedCalls.add(call.ticket())) {
            AccountName account = call.account().map(AccountRule::name).orElseThrow();
            ownCounts
                    .computeIfAbsent(currentWindow(board), key -> new HashMap<>())
                    .merge(account, 1L, Long::sum);
        }
    }

    private long currentWindow(Board board) {
        return Math.floorDiv(board.wallClockMillis(), windowMillis);
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        if (publishPeriod.startIfDue(nowNanos)) {
            publishCounts(board, effects);
        }
        if (board.duties().fencingNumber().isPresent()) {
            proposeCounts(board, nowNanos, effects);
        }
    }

    private void publishCounts(Board board, Effects effects) {
        countedCalls.removeIf(ticket -> board.forward().call(ticket).isEmpty());
        long currentWindow = currentWindow(board);
        ownCounts.headMap(currentWindow - 2).clear();
        board.duties().removeUsageBefore(currentWindow - 1 - reportDeadlineMillis / windowMillis);
        reported.removeIf(window -> window < currentWindow - 2 * reportDeadlineMillis / windowMillis - 2);
        proposedNanos.keySet().removeIf(window -> !ownCounts.containsKey(window) && window < currentWindow - 8);
        for (Map.Entry<Long, Map<AccountName, Long>> entry : ownCounts.entrySet()) {
            PeerMessage message = new PeerMessage.UsageCounts(entry.getKey(), entry.getValue());
            LinkedPeers.broadcast(message, board, effects);
        }
    }

    /** Proposes the counts of windows that have ended and whose report is not late yet. */
    private void proposeCounts(Board board, long nowNanos, Effects effects) {
        long nowMillis = board.wallClockMillis();
        long last = Math.floorDiv(nowMillis - SETTLE_DELAY_MILLIS, windowMillis) - 1;
        long first = Math.floorDiv(nowMillis - reportDeadlineMillis, windowMillis);
        for (long window = first; window <= last; window++) {
            Long proposed = proposedNanos.get(window);
            boolean waiting = proposed != null && nowNanos - proposed < RESEND_DELAY_NANOS;
            boolean known = board.configuration().state().usage(window).isPresent()
                    || !board.duties().usage(window).isEmpty();
            if (!waiting && known && !reported.contains(window)) {
                proposedNanos.put(window, nowNanos);
                effects.post(new ReplicationEvent.ProposalRequested(
                        "usage/" + board.membership().self() + "/"
                                + board.membership().incarnation() + "/" + window + "/" + nowNanos,
                        CONTROL_GROUP,
                        new Command.RecordUsage(window, board.duties().usage(window))));
            }
        }
    }

    private void reportUsage(CommandResult.UsageRecorded recorded, Board board, Effects effects) {
        if (!reported.contains(recorded.window())) {
            board.duties()
                    .fencingNumber()
                    .ifPresent(number ->
                            effects.add(new DutyEffect.ReportUsage(recorded.window(), recorded.requests(), number)));
        }
    }

    private void onDuty(DutyEvent event, Effects effects) {
        if (event instanceof DutyEvent.UsageAnswered answered) {
            effects.log(
                    "usage_answered",
                    "window",
                    answered.window(),
                    "fencing",
                    answered.fencingNumber(),
                    "answer",
                    answered.answer());
            if (answered.answer() == ProviderAnswer.DONE) {
                reported.add(answered.window());
            }
        }
    }
}
