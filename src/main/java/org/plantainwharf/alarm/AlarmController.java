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
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.membership.Member;
import org.plantainwharf.sheet.Rank;

/**
 * Raises an alarm when a promise is at risk, at most one for each promise, and clears it when the trouble has been gone
 * for a while.
 *
 * <p>Service of a rank is at risk when its error budget burns fast both over five minutes and over an hour: the long
 * window ignores short errors, the short one ends the alarm soon after the trouble. The other promises are at risk when
 * what they rest on is violated for longer than they allow. One host raises alarms: the leader of the control group, or
 * where none is known the linked host with the smallest id. Used by the control thread only.
 */
public final class AlarmController implements Controller {
    static final String RECORDS = "P1";
    static final String CONFIGURATION = "P7";

    /** At six times the budget a total outage alarms after 3.6 minutes, and half a minute of it never does. */
    static final double RAISE_BURN = 6;

    /** Below the budget itself nothing is at risk. */
    static final double CLEAR_BURN = 1;

    /** Fewer calls in five minutes say little: one bad call in ten would already look like trouble. */
    static final int FEWEST_CALLS = 20;

    private static final int CONTROL_GROUP = 0;
    private static final long REVIEW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CLEAR_NANOS = TimeUnit.MINUTES.toNanos(5);

    /** An election takes about 2 s, and a second loss right after it another 2 s; longer is not self-healing. */
    private static final long NO_LEADER_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** A sheet is promised to be in force everywhere within 5 s. */
    private static final long LAG_NANOS = TimeUnit.SECONDS.toNanos(5);

    private AlarmController() {}

    /** Returns a controller. */
    public static AlarmController create() {
        return new AlarmController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case CallEvent call -> call(call, board, nowNanos);
            case TimerEvent.Tick tick -> review(board, nowNanos, effects);
            case AttemptEvent ignored -> {}
            case PeerEvent ignored -> {}
            case DocumentEvent ignored -> {}
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

    private static void call(CallEvent event, Board board, long nowNanos) {
        switch (event) {
            case CallEvent.CallRefused refused -> {
                if (countsAgainstService(refused.call(), refused.failure().kind(), board)) {
                    board.alarms().service(refused.call().rank(), nowNanos).add(false, nowNanos);
                }
            }
            case CallEvent.CallFinished finished ->
                limitMillis(finished.call(), board).ifPresent(limit -> board.alarms()
                        .service(finished.call().rank(), nowNanos)
                        .add(finished.tookNanos() <= TimeUnit.MILLISECONDS.toNanos(limit), nowNanos));
            case CallEvent.CallArrived ignored -> {}
            case CallEvent.CallerLeft ignored -> {}
            case CallEvent.WorkAsked ignored -> {}
        }
    }

    /** Returns the longest time of a good call; long work has none. */
    private static Optional<Long> limitMillis(Call call, Board board) {
        return board.configuration()
                .inForce()
                .flatMap(sheet -> Optional.ofNullable(sheet.ranks().get(call.rank())))
                .flatMap(rank -> switch (call.kind()) {
                    // The latency target of a model call is for its first token; its whole answer has the deadline.
                    case CallKind.Model model -> Optional.of(rank.deadlineMillis());
                    case CallKind.Service service -> Optional.of(rank.latencyTargetMillis());
                    case CallKind.Order order -> Optional.of(rank.latencyTargetMillis());
                    case CallKind.LongWork work -> Optional.empty();
                });
    }

    /**
     * Says whether a failure is the system's. Errors of callers are not. Early refusals are what protects urgent work
     * during a flood, so they count only against the rank of the highest worth.
     */
    private static boolean countsAgainstService(Call call, ErrorKind kind, Board board) {
        return switch (kind) {
            case RANK_QUEUE_FULL, ENTRY_QUEUE_FULL, DEADLINE_UNREACHABLE, QUEUE_TIMEOUT -> highestWorth(call, board);
            case NO_QUORUM_NOT_RUN, DRAINING, CONFIGURATION_MISSING -> false;
            default -> kind.httpStatus() >= 500;
        };
    }

    private static boolean highestWorth(Call call, Board board) {
        return board.configuration()
                .inForce()
                .flatMap(sheet -> sheet.ranks().values().stream().max(Comparator.comparingDouble(Rank::worth)))
                .filter(rank -> rank.name().equals(call.rank()))
                .isPresent();
    }

    private static void review(Board board, long nowNanos, Effects effects) {
        AlarmSection section = board.alarms();
        if (section.lastReviewNanos().isPresent()
                && nowNanos - section.lastReviewNanos().getAsLong() < REVIEW_NANOS) {
            return;
        }
        section.reviewed(nowNanos);
        for (Map.Entry<RankName, BurnWindow> entry : section.services().entrySet()) {
            reviewService(entry.getKey(), entry.getValue(), board, nowNanos, effects);
        }
        reviewRecords(board, nowNanos, effects);
        reviewConfiguration(board, nowNanos, effects);
    }

    private static void reviewService(RankName rank, BurnWindow window, Board board, long nowNanos, Effects effects) {
        String promise = "service/" + rank;
        double shortBurn = window.shortBurn(nowNanos);
        boolean raise = shortBurn >= RAISE_BURN
                && window.longBurn(nowNanos) >= RAISE_BURN
                && window.recent(nowNanos) >= FEWEST_CALLS;
        AlarmSection.Watch watch = board.alarms().watch(promise);
        watch.observe(shortBurn >= CLEAR_BURN, nowNanos, board.wallClockMillis());
        settle(
                promise,
                raise,
                board,
                nowNanos,
                effects,
                () -> String.format(
                        Locale.ROOT,
                        "Service of rank %s is at risk since %s: %d of %d calls on host %s failed or were late in the"
                                + " last 5 minutes. Run 'plantainwharf status' and look for backend servers that are"
                                + " silent, leaving or gone, and for zones without hosts.",
                        rank,
                        Instant.ofEpochMilli(watch.sinceWallClockMillis()),
                        window.recentBad(nowNanos),
                        window.recent(nowNanos),
                        board.membership().self()));
    }

    private static void reviewRecords(Board board, long nowNanos, Effects effects) {
        boolean old = board.alarms().firstReviewNanos().isPresent()
                && nowNanos - board.alarms().firstReviewNanos().getAsLong() >= NO_LEADER_NANOS;
        boolean missing = old
                && board.consensus().groups().stream()
                        .anyMatch(group -> group.leader().isEmpty() && !group.leading());
        AlarmSection.Watch watch = board.alarms().watch(RECORDS);
        watch.observe(missing, nowNanos, board.wallClockMillis());
        settle(
                RECORDS,
                watch.inTroubleFor(NO_LEADER_NANOS, nowNanos),
                board,
                nowNanos,
                effects,
                () -> String.format(
                        Locale.ROOT,
                        "Accepted work and orders are at risk since %s: host %s knows no leader of the replicated logs,"
                                + " so orders are refused without running. Run 'plantainwharf status' on hosts of other"
                                + " zones; restart voters that are down and keep their disks.",
                        Instant.ofEpochMilli(watch.sinceWallClockMillis()),
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
                .filter(entry -> nowNanos - entry.getValue() >= LAG_NANOS)
                .map(Map.Entry::getKey)
                .min(Comparator.comparing(HostId::value));
        AlarmSection.Watch watch = board.alarms().watch(CONFIGURATION);
        watch.observe(late.isPresent(), nowNanos, board.wallClockMillis());
        settle(
                CONFIGURATION,
                watch.inTroubleFor(LAG_NANOS, nowNanos),
                board,
                nowNanos,
                effects,
                () -> String.format(
                        Locale.ROOT,
                        "Sheet version %d is not in force everywhere since %s: host %s is reachable and has an older"
                                + " one. Restart that host with 'plantainwharf drain'.",
                        version,
                        Instant.ofEpochMilli(watch.sinceWallClockMillis()),
                        late.map(HostId::value).orElse("unknown")));
    }

    /** Raises and clears; the alarm of a promise is raised once, whatever happens until it is cleared. */
    private static void settle(
            String promise,
            boolean raise,
            Board board,
            long nowNanos,
            Effects effects,
            java.util.function.Supplier<String> text) {
        AlarmSection.Watch watch = board.alarms().watch(promise);
        if (!watch.raised() && raise && raisesAlarms(board)) {
            watch.raise();
            effects.count("alarms.raised");
            effects.add(new AlarmEffect.RaiseAlarm(promise, text.get()));
        } else if (watch.raised() && watch.calmFor(CLEAR_NANOS, nowNanos)) {
            watch.clear();
            effects.count("alarms.cleared");
            effects.add(new AlarmEffect.ClearAlarm(promise));
        }
    }

    private static boolean raisesAlarms(Board board) {
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
