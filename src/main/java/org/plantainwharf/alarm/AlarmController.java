package org.plantainwharf.alarm;

import java.time.Instant;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.AlarmEffect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.error.ErrorKind;
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
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.membership.Member;
import org.plantainwharf.sheet.Rank;

/**
 * Raises an alarm when a service-level objective, one of the promises of the design page, is at risk. Raises at most
 * one alarm per objective, and clears it when the objective has not been violated for five minutes.
 *
 * <p>The service of a rank is at risk when the burn rate of its error budget is high over both five minutes and one
 * hour: the long window ignores short errors, and the short window ends the alarm soon after the errors end. The other
 * objectives are at risk when a condition that they depend on is violated for longer than they allow. Only one host
 * raises alarms: the leader of the control group or, if no linked leader is known, the linked host with the smallest
 * id. Used by the control thread only.
 */
public final class AlarmController implements Controller {
    static final String RECORDS_OBJECTIVE = "P1";
    static final String CONFIGURATION_OBJECTIVE = "P7";

    /**
     * Burn rate that raises an alarm. A total outage raises one after 3.6 minutes, and an outage of half a minute
     * never.
     */
    static final double RAISE_BURN_RATE = 6;

    /** Below this rate the error budget is not exceeded, and nothing is at risk. */
    static final double CLEAR_BURN_RATE = 1;

    /**
     * Fewer calls in five minutes are not significant; one bad call in ten would already raise an alarm.
     */
    static final int MINIMUM_CALLS = 20;

    private static final int CONTROL_GROUP = 0;
    private static final long REVIEW_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CLEAR_DELAY_NANOS = TimeUnit.MINUTES.toNanos(5);

    /**
     * An election takes about 2 s, and after another loss of the leader 2 s more; a longer gap does not end by itself.
     */
    private static final long LEADERLESS_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** A sheet must be in force on every reachable host within 5 s. */
    private static final long CONFIGURATION_LAG_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private AlarmController() {}

    public static AlarmController create() {
        return new AlarmController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case CallEvent call -> onCall(call, board, nowNanos);
            case TimerEvent.Tick tick -> review(board, nowNanos, effects);
            case AttemptEvent ignored -> {}
            case PeerEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent ignored -> {}
            case StorageEvent ignored -> {}
            case ReplicationEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private static void onCall(CallEvent event, Board board, long nowNanos) {
        switch (event) {
            case CallEvent.CallRefused refused -> {
                if (countsAsServiceFailure(refused.call(), refused.failure().kind(), board)) {
                    board.alarms().burnRates(refused.call().rank(), nowNanos).add(false, nowNanos);
                }
            }
            case CallEvent.CallFinished finished ->
                latencyLimitMillis(finished.call(), board).ifPresent(limit -> board.alarms()
                        .burnRates(finished.call().rank(), nowNanos)
                        .add(finished.elapsedNanos() <= TimeUnit.MILLISECONDS.toNanos(limit), nowNanos));
            case CallEvent.CallArrived ignored -> {}
            case CallEvent.CallerLeft ignored -> {}
            case CallEvent.WorkAsked ignored -> {}
        }
    }

    /** Returns the limit in milliseconds above which a finished call is late; empty for long work and unknown ranks. */
    private static Optional<Long> latencyLimitMillis(Call call, Board board) {
        return board.configuration()
                .inForce()
                .flatMap(sheet -> Optional.ofNullable(sheet.ranks().get(call.rank())))
                .flatMap(rank -> switch (call.kind()) {
                    // The latency target of a model call applies to its first token, the deadline to its whole answer.
                    case CallKind.Model model -> Optional.of(rank.deadlineMillis());
                    case CallKind.Service service -> Optional.of(rank.latencyTargetMillis());
                    case CallKind.Order order -> Optional.of(rank.latencyTargetMillis());
                    case CallKind.LongWork work -> Optional.empty();
                });
    }

    /**
     * Returns whether a failure counts as a bad outcome of the service. Errors of callers do not. Early refusals
     * protect urgent work during a flood, so they count only for the rank with the highest worth.
     */
    private static boolean countsAsServiceFailure(Call call, ErrorKind kind, Board board) {
        return switch (kind) {
            case RANK_QUEUE_FULL, ENTRY_QUEUE_FULL, BODY_MEMORY_FULL, DEADLINE_UNREACHABLE, QUEUE_TIMEOUT ->
                hasHighestWorthRank(call, board);
            case NO_QUORUM_NOT_RUN, DRAINING, CONFIGURATION_MISSING, CONFIGURATION_OUTDATED -> false;
            default -> kind.httpStatus() >= 500;
        };
    }

    private static boolean hasHighestWorthRank(Call call, Board board) {
        return board.configuration()
                .inForce()
                .flatMap(sheet -> sheet.ranks().values().stream().max(Comparator.comparingDouble(Rank::worth)))
                .filter(rank -> rank.name().equals(call.rank()))
                .isPresent();
    }

    private static void review(Board board, long nowNanos, Effects effects) {
        AlarmSection section = board.alarms();
        if (section.lastReviewNanos().isPresent()
                && nowNanos - section.lastReviewNanos().getAsLong() < REVIEW_PERIOD_NANOS) {
            return;
        }
        section.recordReview(nowNanos);
        for (Map.Entry<RankName, BurnRateWindow> entry : section.allBurnRates().entrySet()) {
            reviewService(entry.getKey(), entry.getValue(), board, nowNanos, effects);
        }
        reviewRecords(board, nowNanos, effects);
        reviewConfiguration(board, nowNanos, effects);
    }

    private static void reviewService(
            RankName rank, BurnRateWindow window, Board board, long nowNanos, Effects effects) {
        String objective = "service/" + rank;
        double shortBurnRate = window.shortBurnRate(nowNanos);
        boolean raise = shortBurnRate >= RAISE_BURN_RATE
                && window.longBurnRate(nowNanos) >= RAISE_BURN_RATE
                && window.recentOutcomes(nowNanos) >= MINIMUM_CALLS;
        AlarmSection.ObjectiveState state = board.alarms().objective(objective);
        state.update(shortBurnRate >= CLEAR_BURN_RATE, nowNanos, board.wallClockMillis());
        updateAlarm(
                objective,
                raise,
                board,
                nowNanos,
                effects,
                () -> String.format(
                        Locale.ROOT,
                        "Service of rank %s has been at risk since %s: %d of %d calls on host %s failed or were late in"
                                + " the last 5 minutes. Run 'plantainwharf status' and look for backend servers that are"
                                + " silent, leaving or expired, and for zones without hosts.",
                        rank,
                        Instant.ofEpochMilli(state.violationStartMillis()),
                        window.recentBadOutcomes(nowNanos),
                        window.recentOutcomes(nowNanos),
                        board.membership().self()));
    }

    private static void reviewRecords(Board board, long nowNanos, Effects effects) {
        boolean startedUp = board.alarms().firstReviewNanos().isPresent()
                && nowNanos - board.alarms().firstReviewNanos().getAsLong() >= LEADERLESS_LIMIT_NANOS;
        boolean leaderless = startedUp
                && board.consensus().groups().stream()
                        .anyMatch(group -> group.leader().isEmpty() && !group.leading());
        AlarmSection.ObjectiveState state = board.alarms().objective(RECORDS_OBJECTIVE);
        state.update(leaderless, nowNanos, board.wallClockMillis());
        updateAlarm(
                RECORDS_OBJECTIVE,
                state.violatedFor(LEADERLESS_LIMIT_NANOS, nowNanos),
                board,
                nowNanos,
                effects,
                () -> String.format(
                        Locale.ROOT,
                        "Accepted work and orders have been at risk since %s: host %s knows no leader of a replicated"
                                + " log, so orders are refused without running. Run 'plantainwharf status' on hosts of other"
                                + " zones; restart voters that are down and keep their disks.",
                        Instant.ofEpochMilli(state.violationStartMillis()),
                        board.membership().self()));
    }

    private static void reviewConfiguration(Board board, long nowNanos, Effects effects) {
        Map<HostId, Long> lagging = board.alarms().laggingSinceNanos();
        long version = board.configuration().version();
        for (Member member : board.membership().members()) {
            if (member.linked() && !member.draining() && member.configurationVersion() < version) {
                lagging.putIfAbsent(member.host(), nowNanos);
            } else {
                lagging.remove(member.host());
            }
        }
        Optional<HostId> late = lagging.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= CONFIGURATION_LAG_LIMIT_NANOS)
                .map(Map.Entry::getKey)
                .min(Comparator.comparing(HostId::value));
        AlarmSection.ObjectiveState state = board.alarms().objective(CONFIGURATION_OBJECTIVE);
        state.update(late.isPresent(), nowNanos, board.wallClockMillis());
        updateAlarm(
                CONFIGURATION_OBJECTIVE,
                state.violatedFor(CONFIGURATION_LAG_LIMIT_NANOS, nowNanos),
                board,
                nowNanos,
                effects,
                () -> String.format(
                        Locale.ROOT,
                        "Sheet version %d has not been in force on all hosts since %s: host %s is reachable and has an"
                                + " older version. Restart that host with 'plantainwharf drain'.",
                        version,
                        Instant.ofEpochMilli(state.violationStartMillis()),
                        late.map(HostId::value).orElse("unknown")));
    }

    /** Raises or clears the alarm of an objective. An alarm is not raised again until it has been cleared. */
    private static void updateAlarm(
            String objective,
            boolean raise,
            Board board,
            long nowNanos,
            Effects effects,
            java.util.function.Supplier<String> text) {
        AlarmSection.ObjectiveState state = board.alarms().objective(objective);
        if (!state.raised() && raise && isAlarmRaiser(board)) {
            state.markRaised();
            effects.count("alarms.raised");
            effects.add(new AlarmEffect.RaiseAlarm(objective, text.get()));
        } else if (state.raised() && state.healthyFor(CLEAR_DELAY_NANOS, nowNanos)) {
            state.markCleared();
            effects.count("alarms.cleared");
            effects.add(new AlarmEffect.ClearAlarm(objective));
        }
    }

    private static boolean isAlarmRaiser(Board board) {
        GroupStatus control = board.consensus().group(CONTROL_GROUP);
        HostId self = board.membership().self();
        if (control.leading()) {
            return true;
        }
        boolean leaderLinked = control.leader()
                .flatMap(leader -> board.membership().member(leader))
                .filter(Member::linked)
                .isPresent();
        return !leaderLinked
                && board.membership().members().stream()
                        .filter(Member::linked)
                        .allMatch(member -> self.value().compareTo(member.host().value()) < 0);
    }
}
