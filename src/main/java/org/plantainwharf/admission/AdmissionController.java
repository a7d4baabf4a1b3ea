package org.plantainwharf.admission;

import java.time.Duration;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.board.CallCompletion;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.CallState;
import org.plantainwharf.call.Origin;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
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
import org.plantainwharf.retry.CallRecovery;
import org.plantainwharf.sheet.ClientAccount;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Sheet;

/**
 * Refuses arriving calls that cannot be served in time, queues the others and admits them within the capacity estimate.
 * Accepted work, {@link Origin.AcceptedWork}, is already promised to a caller and is therefore queued, never refused
 * for lack of capacity.
 *
 * <p>Stateless; its state is the {@link AdmissionSection}. Used by the control thread only.
 */
public final class AdmissionController implements Controller {
    /** Age at which a capacity estimate is computed again; short compared with the period of load reports. */
    private static final long ESTIMATE_VALIDITY_NANOS = 20_000_000;

    /**
     * Silence of a record group's leader after which orders are no longer queued. An election takes up to 2 s, and the
     * record package refuses such orders immediately.
     */
    private static final long LEADER_SILENCE_LIMIT_NANOS = 1_500_000_000;

    /**
     * Time since arrival, in multiples of the latency target, after which a queued call is refused before its deadline,
     * so that its caller can try elsewhere.
     */
    private static final double MAXIMUM_WAIT_TARGETS = 3;

    private static final Duration NO_SERVER_RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration MAXIMUM_RETRY_AFTER = Duration.ofSeconds(60);

    private AdmissionController() {}

    public static AdmissionController create() {
        return new AdmissionController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case CallEvent call -> handleCall(call, board, nowNanos, effects);
            case AttemptEvent attempt -> handleFirstToken(attempt, board, nowNanos);
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent server -> admitAll(board, nowNanos);
            case TimerEvent timer -> {
                expire(board, nowNanos, effects);
                admitAll(board, nowNanos);
            }
            case PeerEvent peer -> {}
            case StorageEvent storage -> {}
            case ReplicationEvent replication -> {}
            case OperatorEvent operator -> {}
            case PlatformEvent platform -> {}
        }
    }

    /** Ends a call whose arrival could not be handled: it is in no queue. */
    @Override
    public void recover(Event event, Board board, long nowNanos, Effects effects) {
        if (event instanceof CallEvent.CallArrived arrived) {
            CallRecovery.endArrived(arrived.call(), board, effects);
        }
    }

    private static void handleCall(CallEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case CallEvent.CallArrived arrived -> handleArrival(arrived.call(), board, nowNanos, effects);
            case CallEvent.CallRefused refused -> handleEnd(refused.call(), board, nowNanos);
            case CallEvent.CallFinished finished -> handleEnd(finished.call(), board, nowNanos);
            case CallEvent.CallerLeft left -> {}
            case CallEvent.WorkAsked asked -> {}
        }
    }

    /**
     * Records the time from admission to the first token. The wait in the queue must leave this much of the latency
     * target.
     */
    private static void handleFirstToken(AttemptEvent event, Board board, long nowNanos) {
        if (event instanceof AttemptEvent.FirstTokenReceived first
                && first.attempt().number() == 1) {
            AdmissionSection.Admitted admitted =
                    board.admission().admitted(first.attempt().request());
            if (admitted != null) {
                board.admission()
                        .destination(admitted.destination())
                        .rank(admitted.rank(), nowNanos)
                        .recordTimeToFirstToken((nowNanos - admitted.sinceNanos()) / 1e9);
            }
        }
    }

    private static void handleArrival(Call call, Board board, long nowNanos, Effects effects) {
        CallEntry entry = board.calls().add(call);
        Failure refusal = refusal(call, board, nowNanos);
        if (refusal != null) {
            CallCompletion.fail(board, effects, entry, refusal);
        } else if (needsNoCapacity(call, board, nowNanos)) {
            board.calls().advance(entry, new CallState.Recording(nowNanos));
        } else {
            enqueue(entry, board, nowNanos);
        }
    }

    private static @Nullable Failure refusal(Call call, Board board, long nowNanos) {
        if (board.drain().refusesCalls()) {
            return Failure.of(ErrorKind.DRAINING);
        }
        Sheet sheet = board.configuration().inForce().orElse(null);
        if (sheet == null) {
            return Failure.of(ErrorKind.CONFIGURATION_MISSING);
        }
        return switch (call.origin()) {
            case Origin.AcceptedWork work -> null;
            case Origin.Caller caller -> callerRefusal(call, sheet, board, nowNanos);
        };
    }

    private static @Nullable Failure callerRefusal(Call call, Sheet sheet, Board board, long nowNanos) {
        Rank rank = sheet.ranks().get(call.rank());
        ClientAccount account = sheet.accounts().get(call.account());
        if (rank == null || account == null) {
            return Failure.of(ErrorKind.RANK_NOT_ALLOWED, call.rank().value());
        }
        if (board.quarantine().isQuarantined(call.fingerprint(), board.wallClockMillis())) {
            return Failure.of(ErrorKind.REQUEST_QUARANTINED);
        }
        Optional<Duration> overLimit = board.limits().refusal(call.id());
        if (overLimit.isPresent()) {
            return Failure.of(ErrorKind.ACCOUNT_LIMIT_EXCEEDED, account.name().value())
                    .withRetryAfter(overLimit.get());
        }
        if (needsNoCapacity(call, board, nowNanos)) {
            return null;
        }
        Destination destination = Destination.of(call.kind());
        if (board.routing().servers(destination).isEmpty()) {
            return Failure.of(ErrorKind.NO_SERVER_AVAILABLE, destination.label())
                    .withRetryAfter(NO_SERVER_RETRY_AFTER);
        }
        return queueRefusal(call, rank, account, destination, board, nowNanos);
    }

    private static @Nullable Failure queueRefusal(
            Call call, Rank rank, ClientAccount account, Destination destination, Board board, long nowNanos) {
        AdmissionSection section = board.admission();
        RankQueue queue = section.destination(destination).rank(rank.name(), nowNanos);
        queue.update(nowNanos);
        double ahead = queue.timelyCalls().callsAhead(account.name(), account.weight());
        double waitMillis = 1_000 * queue.predictedWaitSeconds(ahead);
        if (section.queued(rank.name(), account.name())
                >= board.settings().bounds().accountQueueCapacity()) {
            return Failure.of(ErrorKind.ACCOUNT_QUEUE_FULL, account.name().value())
                    .withRetryAfter(retryAfter(waitMillis));
        }
        if (section.queued(rank.name()) >= board.settings().bounds().rankQueueCapacity()) {
            return Failure.of(ErrorKind.RANK_QUEUE_FULL, rank.name().value()).withRetryAfter(retryAfter(waitMillis));
        }
        double remainingMillis = rank.latencyTargetMillis()
                - (nowNanos - call.arrivedNanos()) / 1e6
                - 1_000 * queue.timeToFirstTokenSeconds();
        if (queue.timelyCalls().size() > 0 && waitMillis > remainingMillis) {
            return Failure.of(ErrorKind.DEADLINE_UNREACHABLE, Math.round(waitMillis))
                    .withRetryAfter(retryAfter(waitMillis - remainingMillis));
        }
        return null;
    }

    /**
     * Returns a delay in whole seconds, as the Retry-After header requires, from 1 s to {@link #MAXIMUM_RETRY_AFTER}.
     */
    private static Duration retryAfter(double millis) {
        Duration delay = Duration.ofSeconds((long) Math.ceil(Math.max(1, millis) / 1_000));
        return delay.compareTo(MAXIMUM_RETRY_AFTER) > 0 ? MAXIMUM_RETRY_AFTER : delay;
    }

    /**
     * Returns whether a call proceeds without waiting for a slot. Accepting long work needs no server, and the record
     * package immediately refuses an order without a majority.
     */
    private static boolean needsNoCapacity(Call call, Board board, long nowNanos) {
        if (!(call.origin() instanceof Origin.Caller)) {
            return false;
        }
        return switch (call.kind()) {
            case CallKind.LongWork work -> true;
            case CallKind.Order order -> !recordGroupsReachable(board, nowNanos);
            case CallKind.Model model -> false;
            case CallKind.Service service -> false;
        };
    }

    private static boolean recordGroupsReachable(Board board, long nowNanos) {
        for (int group = 1; group <= board.settings().recordGroups(); group++) {
            GroupStatus status = board.consensus().group(group);
            if (status.leader().isEmpty() || nowNanos - status.lastContactNanos() > LEADER_SILENCE_LIMIT_NANOS) {
                return false;
            }
        }
        return true;
    }

    private static void enqueue(CallEntry entry, Board board, long nowNanos) {
        Call call = entry.call();
        AdmissionSection section = board.admission();
        DestinationQueue destination = section.destination(Destination.of(call.kind()));
        RankQueue queue = destination.rank(call.rank(), nowNanos);
        queue.update(nowNanos);
        double weight = board.configuration()
                .inForce()
                .map(sheet -> sheet.accounts().get(call.account()))
                .map(ClientAccount::weight)
                .orElse(1.0);
        queue.timelyCalls().add(entry, weight);
        section.countAdded(call, destination);
        board.calls().advance(entry, new CallState.Queued(nowNanos));
        admit(destination, board, nowNanos);
    }

    private static void admitAll(Board board, long nowNanos) {
        for (DestinationQueue destination : board.admission().destinations()) {
            admit(destination, board, nowNanos);
        }
    }

    private static void admit(DestinationQueue destination, Board board, long nowNanos) {
        Sheet sheet = board.configuration().inForce().orElse(null);
        if (sheet == null || destination.size() == 0) {
            return;
        }
        CapacityEstimate capacity = destination.capacity();
        if (capacity.servers() == 0 || nowNanos - capacity.computedNanos() >= ESTIMATE_VALIDITY_NANOS) {
            capacity = CapacityEstimate.compute(board, destination.destination(), nowNanos);
            destination.setCapacity(capacity);
        }
        while (destination.size() > 0 && capacity.hasRoomForPreferred(destination.admitted())) {
            CallEntry entry = destination.pollNext(sheet.ranks(), capacity, nowNanos);
            if (entry == null) {
                return;
            }
            board.admission().countRemoved(entry.call(), destination);
            admit(entry, destination, board, nowNanos);
        }
    }

    private static void admit(CallEntry entry, DestinationQueue destination, Board board, long nowNanos) {
        Call call = entry.call();
        destination.countAdmitted(1);
        board.admission()
                .putAdmitted(
                        call.id(), new AdmissionSection.Admitted(destination.destination(), call.rank(), nowNanos));
        boolean recordFirst = call.kind() instanceof CallKind.Order;
        board.calls().advance(entry, recordFirst ? new CallState.Recording(nowNanos) : new CallState.Ready(nowNanos));
    }

    /** Releases the capacity of a call that has ended, or removes it from its queue. */
    private static void handleEnd(Call call, Board board, long nowNanos) {
        AdmissionSection section = board.admission();
        AdmissionSection.Admitted admitted = section.removeAdmitted(call.id());
        if (admitted != null) {
            DestinationQueue destination = section.destination(admitted.destination());
            destination.countAdmitted(-1);
            destination.rank(admitted.rank(), nowNanos).recordEnd((nowNanos - admitted.sinceNanos()) / 1e9);
            admit(destination, board, nowNanos);
        } else if (section.isQueued(call.id())) {
            DestinationQueue destination = section.destination(Destination.of(call.kind()));
            RankQueue queue = destination.rank(call.rank(), nowNanos);
            queue.update(nowNanos);
            for (CallEntry removed : queue.removeIf(entry -> entry.call().id().equals(call.id()))) {
                section.countRemoved(removed.call(), destination);
            }
        }
    }

    private static void expire(Board board, long nowNanos, Effects effects) {
        Sheet sheet = board.configuration().inForce().orElse(null);
        for (DestinationQueue destination : board.admission().destinations()) {
            for (RankQueue queue : destination.ranks()) {
                queue.update(nowNanos);
                for (CallEntry entry :
                        queue.removeIf(waiting -> nowNanos - waiting.call().deadlineNanos() >= 0)) {
                    refuseQueued(entry, Failure.of(ErrorKind.QUEUE_TIMEOUT), destination, board, effects);
                }
                Rank rank = sheet == null ? null : sheet.ranks().get(queue.rank());
                if (rank != null) {
                    refuseOverdue(rank, queue, destination, board, nowNanos, effects);
                }
            }
        }
    }

    private static void refuseOverdue(
            Rank rank, RankQueue queue, DestinationQueue destination, Board board, long nowNanos, Effects effects) {
        queue.moveLateCalls(rank, nowNanos);
        for (CallEntry entry : queue.removeOverdue(rank, MAXIMUM_WAIT_TARGETS, nowNanos)) {
            double waitMillis =
                    1_000 * queue.predictedWaitSeconds(queue.timelyCalls().size());
            Failure failure = Failure.of(ErrorKind.DEADLINE_UNREACHABLE, Math.round(waitMillis))
                    .withRetryAfter(retryAfter(waitMillis));
            refuseQueued(entry, failure, destination, board, effects);
        }
    }

    private static void refuseQueued(
            CallEntry entry, Failure failure, DestinationQueue destination, Board board, Effects effects) {
        board.admission().countRemoved(entry.call(), destination);
        CallCompletion.fail(board, effects, entry, failure);
    }
}
