package org.plantainwharf.record;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.IdempotencyKey;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.Query;
import org.plantainwharf.replicated.QueryResult;
import org.plantainwharf.replicated.StateMachine;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.StateRecord.OrderState;
import org.plantainwharf.replicated.StateRecord.WorkState;

/**
 * The state of one record group: orders by account and idempotency key, and accepted work by request id.
 *
 * <p>Invariants: a key is granted to a second request only in state {@code Released}, which implies that the first
 * request did not run; a key in state {@code Finished} or {@code Lost} is never granted again while it is kept; an answer
 * of accepted work is stored only for the current attempt. Owned by the control thread.
 */
public final class RecordState implements StateMachine {
    /** Time for which an answer is kept. */
    static final long ANSWER_RETENTION_MILLIS = Duration.ofDays(7).toMillis();

    /** Age at which a used key is dropped and may be used again, 90 days after its answer was dropped. */
    static final long KEY_RETENTION_MILLIS =
            ANSWER_RETENTION_MILLIS + Duration.ofDays(90).toMillis();

    private record OrderKey(AccountName account, IdempotencyKey key) {}

    private final Map<OrderKey, StateRecord.Order> orders = new LinkedHashMap<>();
    private final Map<RequestId, StateRecord.Work> work = new LinkedHashMap<>();
    private final Set<OrderKey> reservedOrders = new LinkedHashSet<>();
    private final Set<RequestId> unfinishedWork = new LinkedHashSet<>();

    private RecordState() {}

    /** Returns an empty state. */
    public static RecordState create() {
        return new RecordState();
    }

    /** Returns the reserved orders, whose outcome is not recorded yet. */
    public List<StateRecord.Order> reservedOrders() {
        return reservedOrders.stream().map(this::orderOf).toList();
    }

    /** Returns accepted work that has no answer yet, in order of acceptance. */
    public List<StateRecord.Work> unfinishedWork() {
        return unfinishedWork.stream().map(this::workOf).toList();
    }

    /** Returns accepted work by its request id, empty if it is unknown or expired. */
    public Optional<StateRecord.Work> work(RequestId request) {
        return Optional.ofNullable(work.get(request));
    }

    /** Returns the number of orders plus the number of accepted requests. */
    public int size() {
        return orders.size() + work.size();
    }

    private StateRecord.Order orderOf(OrderKey key) {
        return Objects.requireNonNull(orders.get(key));
    }

    private StateRecord.Work workOf(RequestId request) {
        return Objects.requireNonNull(work.get(request));
    }

    @Override
    public CommandResult apply(Command command) {
        return switch (command) {
            case Command.Recording recording -> applyRecording(recording);
            case Command.Control control -> new CommandResult.Ignored();
        };
    }

    private CommandResult applyRecording(Command.Recording command) {
        return switch (command) {
            case Command.NoOperation none -> new CommandResult.Done();
            case Command.ChangeVoters change -> new CommandResult.Done();
            case Command.RecordIntent intent -> recordIntent(intent);
            case Command.ReleaseIntent release -> releaseIntent(release);
            case Command.LoseOutcome lose -> loseOutcome(lose);
            case Command.RecordOutcome outcome -> recordOutcome(outcome);
            case Command.MarkOwnerLost lost -> markOwnerLost(lost);
            case Command.AcceptWork accept -> acceptWork(accept);
            case Command.AssignWork assign -> assignWork(assign);
            case Command.ReturnWork returned -> returnWork(returned);
            case Command.CompleteWork complete -> completeWork(complete);
            case Command.Expire expire -> expire(expire.wallClockMillis());
        };
    }

    private CommandResult recordIntent(Command.RecordIntent intent) {
        OrderKey key = new OrderKey(intent.account(), intent.key());
        StateRecord.@Nullable Order known = orders.get(key);
        if (known == null) {
            return reserve(key, intent, Set.of());
        }
        if (known.state() instanceof OrderState.Released) {
            return known.releasedRequests().contains(intent.request())
                    ? new CommandResult.Ignored()
                    : reserve(key, intent, known.releasedRequests());
        }
        if (known.state() instanceof OrderState.Expired) {
            return new CommandResult.IntentExpired();
        }
        if (!known.contentDigest().equals(intent.contentDigest())) {
            return new CommandResult.IntentReused();
        }
        return switch (known.state()) {
            case OrderState.Reserved reserved -> {
                if (reserved.request().equals(intent.request())) {
                    yield new CommandResult.IntentGranted();
                }
                // The caller of this request is told that another request is running, so a delayed duplicate of this
                // intent must never be granted later.
                put(key, withReleasedRequest(known, reserved, intent.request(), known.wallClockMillis()));
                yield new CommandResult.IntentRunning(reserved.request());
            }
            case OrderState.Finished finished ->
                new CommandResult.IntentFinished(finished.httpStatus(), finished.answer());
            case OrderState.Lost lost -> new CommandResult.IntentLost();
            case OrderState.Expired expired -> new CommandResult.IntentExpired();
            case OrderState.Released released -> new CommandResult.Ignored();
        };
    }

    private CommandResult reserve(OrderKey key, Command.RecordIntent intent, Set<RequestId> releasedRequests) {
        OrderState state = new OrderState.Reserved(intent.owner(), intent.ownerIncarnation(), intent.request());
        put(
                key,
                new StateRecord.Order(
                        intent.account(),
                        intent.key(),
                        intent.contentDigest(),
                        state,
                        releasedRequests,
                        intent.wallClockMillis()));
        return new CommandResult.IntentGranted();
    }

    private CommandResult releaseIntent(Command.ReleaseIntent release) {
        OrderKey key = new OrderKey(release.account(), release.key());
        StateRecord.@Nullable Order known = orders.get(key);
        if (known == null) {
            // The release overtook its intent. Record it, so that the intent is not granted when it arrives.
            put(
                    key,
                    new StateRecord.Order(
                            release.account(),
                            release.key(),
                            "",
                            new OrderState.Released(),
                            Set.of(release.request()),
                            release.wallClockMillis()));
            return new CommandResult.Done();
        }
        OrderState state =
                switch (known.state()) {
                    case OrderState.Reserved reserved ->
                        reserved.request().equals(release.request()) ? new OrderState.Released() : reserved;
                    case OrderState.Released released -> released;
                    case OrderState.Finished finished -> finished;
                    case OrderState.Lost lost -> lost;
                    case OrderState.Expired expired -> expired;
                };
        boolean open = state instanceof OrderState.Released || state instanceof OrderState.Reserved;
        if (!open) {
            return new CommandResult.Ignored();
        }
        put(key, withReleasedRequest(known, state, release.request(), release.wallClockMillis()));
        return new CommandResult.Done();
    }

    private static StateRecord.Order withReleasedRequest(
            StateRecord.Order order, OrderState state, RequestId request, long wallClockMillis) {
        Set<RequestId> releasedRequests = new LinkedHashSet<>(order.releasedRequests());
        releasedRequests.add(request);
        return new StateRecord.Order(
                order.account(), order.key(), order.contentDigest(), state, releasedRequests, wallClockMillis);
    }

    private CommandResult loseOutcome(Command.LoseOutcome lose) {
        OrderKey key = new OrderKey(lose.account(), lose.key());
        StateRecord.@Nullable Order known = orders.get(key);
        OrderState lost = new OrderState.Lost(lose.request());
        if (known != null
                && known.state() instanceof OrderState.Reserved reserved
                && reserved.request().equals(lose.request())) {
            put(key, withState(known, lost));
            return new CommandResult.Done();
        }
        return known != null && known.state().equals(lost) ? new CommandResult.Done() : new CommandResult.Ignored();
    }

    private CommandResult recordOutcome(Command.RecordOutcome outcome) {
        OrderKey key = new OrderKey(outcome.account(), outcome.key());
        StateRecord.@Nullable Order known = orders.get(key);
        if (known == null) {
            return new CommandResult.Ignored();
        }
        boolean sameRequest =
                switch (known.state()) {
                    case OrderState.Reserved reserved -> reserved.request().equals(outcome.request());
                    // An owner that was marked as lost may still report the outcome of the single run.
                    case OrderState.Lost lost -> lost.request().equals(outcome.request());
                    case OrderState.Finished finished -> finished.request().equals(outcome.request());
                    case OrderState.Released released -> false;
                    case OrderState.Expired expired -> false;
                };
        if (!sameRequest) {
            return new CommandResult.Ignored();
        }
        if (!(known.state() instanceof OrderState.Finished)) {
            put(
                    key,
                    withState(
                            known, new OrderState.Finished(outcome.request(), outcome.httpStatus(), outcome.answer())));
        }
        return new CommandResult.Done();
    }

    private CommandResult markOwnerLost(Command.MarkOwnerLost command) {
        for (StateRecord.Order order : reservedOrders()) {
            if (order.state() instanceof OrderState.Reserved reserved
                    && reserved.owner().equals(command.owner())
                    && reserved.ownerIncarnation() == command.ownerIncarnation()) {
                put(
                        new OrderKey(order.account(), order.key()),
                        withState(order, new OrderState.Lost(reserved.request())));
            }
        }
        return new CommandResult.Done();
    }

    private CommandResult acceptWork(Command.AcceptWork accept) {
        StateRecord.@Nullable Work known = work.get(accept.request());
        if (known != null) {
            return known.account().equals(accept.account()) ? new CommandResult.Done() : new CommandResult.Ignored();
        }
        put(new StateRecord.Work(
                accept.account(),
                accept.request(),
                accept.rank(),
                accept.model(),
                accept.content(),
                new WorkState.Waiting(0),
                accept.wallClockMillis()));
        return new CommandResult.Done();
    }

    private CommandResult assignWork(Command.AssignWork assign) {
        StateRecord.@Nullable Work known = work.get(assign.request());
        if (known == null) {
            return new CommandResult.Ignored();
        }
        WorkState assigned = new WorkState.Assigned(assign.attempt(), assign.owner(), assign.ownerIncarnation());
        if (known.state().equals(assigned)) {
            return new CommandResult.Done();
        }
        int lastAttempt =
                switch (known.state()) {
                    case WorkState.Waiting waiting -> waiting.attempt();
                    case WorkState.Assigned earlier -> earlier.attempt();
                    case WorkState.Finished finished -> Integer.MAX_VALUE;
                };
        if (assign.attempt() - 1 != lastAttempt) {
            return new CommandResult.Ignored();
        }
        put(withState(known, assigned, known.wallClockMillis()));
        return new CommandResult.Done();
    }

    private CommandResult returnWork(Command.ReturnWork returned) {
        StateRecord.@Nullable Work known = work.get(returned.request());
        if (known != null
                && known.state() instanceof WorkState.Assigned assigned
                && assigned.attempt() == returned.attempt()) {
            put(withState(known, new WorkState.Waiting(returned.attempt()), known.wallClockMillis()));
            return new CommandResult.Done();
        }
        return new CommandResult.Ignored();
    }

    private CommandResult completeWork(Command.CompleteWork complete) {
        StateRecord.@Nullable Work known = work.get(complete.request());
        if (known == null) {
            return new CommandResult.Ignored();
        }
        return switch (known.state()) {
            case WorkState.Waiting waiting -> new CommandResult.Ignored();
            case WorkState.Finished finished ->
                finished.attempt() == complete.attempt() ? new CommandResult.Done() : new CommandResult.Ignored();
            case WorkState.Assigned assigned -> {
                if (assigned.attempt() != complete.attempt()) {
                    yield new CommandResult.Ignored();
                }
                WorkState finished = new WorkState.Finished(
                        complete.attempt(), complete.httpStatus(), complete.answer(), complete.answerDigest());
                put(withState(known, finished, complete.wallClockMillis()));
                yield new CommandResult.Done();
            }
        };
    }

    private CommandResult expire(long now) {
        for (StateRecord.Order order : List.copyOf(orders.values())) {
            OrderKey key = new OrderKey(order.account(), order.key());
            long age = now - order.wallClockMillis();
            switch (order.state()) {
                case OrderState.Reserved reserved -> {}
                case OrderState.Released released -> removeIfOlder(key, age, ANSWER_RETENTION_MILLIS);
                case OrderState.Expired expired -> removeIfOlder(key, age, KEY_RETENTION_MILLIS);
                case OrderState.Finished finished -> expireIfOlder(key, order, age);
                case OrderState.Lost lost -> expireIfOlder(key, order, age);
            }
        }
        work.values()
                .removeIf(entry -> entry.state() instanceof WorkState.Finished
                        && now - entry.wallClockMillis() >= ANSWER_RETENTION_MILLIS);
        return new CommandResult.Done();
    }

    private void removeIfOlder(OrderKey key, long age, long limit) {
        if (age >= limit) {
            orders.remove(key);
        }
    }

    private void expireIfOlder(OrderKey key, StateRecord.Order order, long age) {
        if (age >= ANSWER_RETENTION_MILLIS) {
            put(key, withState(order, new OrderState.Expired()));
        }
    }

    private void put(OrderKey key, StateRecord.Order order) {
        orders.put(key, order);
        if (order.state() instanceof OrderState.Reserved) {
            reservedOrders.add(key);
        } else {
            reservedOrders.remove(key);
        }
    }

    private void put(StateRecord.Work entry) {
        work.put(entry.request(), entry);
        if (entry.state() instanceof WorkState.Finished) {
            unfinishedWork.remove(entry.request());
        } else {
            unfinishedWork.add(entry.request());
        }
    }

    /**
     * Returns the order in a final state. It no longer needs the released requests, since no intent is granted in such a
     * state.
     */
    private static StateRecord.Order withState(StateRecord.Order order, OrderState state) {
        return new StateRecord.Order(
                order.account(), order.key(), order.contentDigest(), state, Set.of(), order.wallClockMillis());
    }

    private static StateRecord.Work withState(StateRecord.Work entry, WorkState state, long wallClockMillis) {
        return new StateRecord.Work(
                entry.account(), entry.request(), entry.rank(), entry.model(), entry.content(), state, wallClockMillis);
    }

    @Override
    public QueryResult answer(Query query) {
        return switch (query) {
            case Query.WorkState ask -> {
                StateRecord.@Nullable Work known = work.get(ask.request());
                if (known == null || !known.account().equals(ask.account())) {
                    yield new QueryResult.NotFound();
                }
                yield switch (known.state()) {
                    case WorkState.Waiting waiting -> new QueryResult.WorkPending(waiting.attempt());
                    case WorkState.Assigned assigned -> new QueryResult.WorkPending(assigned.attempt());
                    case WorkState.Finished finished ->
                        new QueryResult.WorkFinished(finished.httpStatus(), finished.answer(), finished.answerDigest());
                };
            }
        };
    }

    @Override
    public List<StateRecord> records() {
        List<StateRecord> records = new ArrayList<>(orders.values());
        records.addAll(work.values());
        return records;
    }

    @Override
    public void restore(List<StateRecord> records) {
        orders.clear();
        work.clear();
        reservedOrders.clear();
        unfinishedWork.clear();
        for (StateRecord stateRecord : records) {
            switch (stateRecord) {
                case StateRecord.Order order -> put(new OrderKey(order.account(), order.key()), order);
                case StateRecord.Work entry -> put(entry);
                case StateRecord.SheetInForce other -> throw unexpected(other);
                case StateRecord.AcceptedSheet other -> throw unexpected(other);
                case StateRecord.Fencing other -> throw unexpected(other);
                case StateRecord.Crashes other -> throw unexpected(other);
                case StateRecord.Departed other -> throw unexpected(other);
                case StateRecord.ListedVersion other -> throw unexpected(other);
                case StateRecord.NewestRollout other -> throw unexpected(other);
                case StateRecord.HostStart other -> throw unexpected(other);
                case StateRecord.Document other -> throw unexpected(other);
                case StateRecord.Usage other -> throw unexpected(other);
            }
        }
    }

    private static IllegalArgumentException unexpected(StateRecord stateRecord) {
        return new IllegalArgumentException("record does not belong to a record group: "
                + stateRecord.getClass().getSimpleName());
    }
}
