package org.plantainwharf.duty;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.PeriodicTimer;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.document.ServiceRule;
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
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ServiceDemand;
import org.plantainwharf.registry.KnownServer;
import org.plantainwharf.registry.ServerPhase;

/**
 * Orders servers according to demand while this daemon is the duty holder. Scales up at once, and down only after
 * demand has stayed lower for a time ({@link RecentRequirement}). An order states the absolute number of servers in a
 * pool. It is sent when that number changes, and repeated after an order without an answer, because the unanswered one
 * may still be executed late. Runs on the control thread.
 */
public final class ScalingController implements Controller {
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Time for which no further reclaimable servers are planned in a zone after the cloud API had none. */
    private static final long SHORTAGE_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Longest delay after which an unanswered order may still be executed. */
    private static final long LATE_EXECUTION_NANOS = TimeUnit.SECONDS.toNanos(13);

    private static final long RESEND_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Time beyond a server's start time after which an order that has not been reached is sent again. Servers report
     * once a second.
     */
    private static final long START_GRACE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long DEMAND_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(4);

    /**
     * Prompt tokens that one engine is planned to process per second, as {@link ServiceDemand} counts them. That is half
     * of its time, since prompts arrive in bursts and delay the output tokens of concurrent requests.
     */
    private static final double PROMPT_TOKENS_PER_SECOND_PER_SERVER = 50_000;

    /** Planned share of an engine's slots in use; output tokens slow down as more requests run concurrently. */
    private static final double TARGET_SLOT_UTILIZATION = 0.5;

    /** Ordinary servers that are always kept, so that a service survives the reclaim of all reclaimable ones. */
    private static final int MINIMUM_ORDINARY_SERVERS = 1;

    /**
     * Fraction of the required servers that ordinary ones replace while reclaimable ones are short. They cost several
     * times as much, so that beyond this a busier engine is the lesser loss.
     */
    private static final double ORDINARY_COVER = 0.75;

    /** Least number of reclaimable servers beyond the present demand, to absorb bursts of prompts. */
    private static final int MINIMUM_SPARE_SERVERS = 3;

    private final Map<ServerPool, PoolOrder> orders = new HashMap<>();
    private final Map<AvailabilityZone, Long> shortageUntilNanos = new HashMap<>();
    private final Map<ServiceName, RecentRequirement> requirements = new HashMap<>();
    private final PeriodicTimer period = PeriodicTimer.ofNanos(PERIOD_NANOS);
    private long lastFencingNumber;

    /**
     * The latest order for a pool. Immutable.
     *
     * @param servers ordered number of servers
     * @param sentNanos when the order was sent or, once answered, when the answer arrived
     * @param answered whether the cloud API call has returned
     * @param outcomeUnknown whether the call returned without saying if the order was executed
     */
    private record PoolOrder(int servers, long sentNanos, boolean answered, boolean outcomeUnknown) {}

    private ScalingController() {}

    public static ScalingController create() {
        return new ScalingController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case PeerEvent.PeerMessageReceived received -> {
                if (received.message() instanceof PeerMessage.DemandReport report) {
                    board.duties().putDemand(received.peer(), report.demands(), nowNanos);
                }
            }
            case PeerEvent ignored -> {}
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case DutyEvent.OrderAnswered answered -> onAnswer(answered, nowNanos, effects);
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ReplicationEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private void onAnswer(DutyEvent.OrderAnswered answered, long nowNanos, Effects effects) {
        effects.log(
                "order_answered",
                "service",
                answered.pool().service(),
                "zone",
                answered.pool().zone(),
                "reclaimable",
                answered.pool().reclaimable(),
                "servers",
                answered.serverCount(),
                "answer",
                answered.answer());
        @Nullable PoolOrder order = orders.get(answered.pool());
        if (order == null || order.servers() != answered.serverCount()) {
            return;
        }
        if (answered.answer() == ProviderAnswer.CONFLICT && answered.pool().reclaimable()) {
            shortageUntilNanos.put(answered.pool().zone(), nowNanos + SHORTAGE_BACKOFF_NANOS);
        }
        Optional<PoolOrder> next =
                switch (answered.answer()) {
                    case DONE -> Optional.of(new PoolOrder(order.servers(), nowNanos, true, false));
                    case UNKNOWN -> Optional.of(new PoolOrder(order.servers(), nowNanos, true, true));
                    case CONFLICT, BUSY -> Optional.empty();
                };
        next.ifPresentOrElse(
                answeredOrder -> orders.put(answered.pool(), answeredOrder), () -> orders.remove(answered.pool()));
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        if (!period.startIfDue(nowNanos)) {
            return;
        }
        board.duties().demands().values().removeIf(demand -> nowNanos - demand.receivedNanos() >= DEMAND_EXPIRY_NANOS);
        if (board.duties().fencingNumber().isEmpty()
                || board.documents().document().isEmpty()) {
            return;
        }
        long fencingNumber = board.duties().fencingNumber().getAsLong();
        if (fencingNumber != lastFencingNumber) {
            // Another duty holder may have sent orders in the meantime, which are not known here.
            lastFencingNumber = fencingNumber;
            orders.clear();
            requirements.clear();
        }
        ServiceDocument document = board.documents().document().get();
        for (ServiceRule service : document.services().values()) {
            service.scaling()
                    .ifPresent(scaling -> orderServers(service, scaling, board, fencingNumber, nowNanos, effects));
        }
    }

    private void orderServers(
            ServiceRule service,
            ServiceRule.Scaling scaling,
            Board board,
            long fencingNumber,
            long nowNanos,
            Effects effects) {
        RecentRequirement requirement =
                requirements.computeIfAbsent(service.name(), name -> RecentRequirement.beginning(nowNanos));
        int required = requirement.update(
                requiredServers(service, scaling, board),
                hasDemand(service.name(), board),
                countReady(service.name(), board),
                servers -> servers + spareServers(servers, scaling),
                nowNanos);
        long bootNanos = TimeUnit.MILLISECONDS.toNanos(scaling.startupMillis());
        Map<ServerPool, Integer> plan = ScalingPlan.of(
                service.name(),
                scaling,
                new ScalingPlan.Target(
                        MINIMUM_ORDINARY_SERVERS,
                        (int) Math.ceil(ORDINARY_COVER * required),
                        required + spareServers(required, scaling)),
                currentState(service, board, bootNanos, nowNanos));
        plan.forEach((pool, servers) -> {
            int ready = countReady(pool, board);
            boolean givesUpUnknown = servers < ready && requirement.learning(nowNanos);
            if (!givesUpUnknown && isOrderDue(pool, servers, ready, bootNanos, nowNanos)) {
                orders.put(pool, new PoolOrder(servers, nowNanos, false, false));
                effects.log(
                        "order_sent",
                        "service",
                        pool.service(),
                        "zone",
                        pool.zone(),
                        "reclaimable",
                        pool.reclaimable(),
                        "servers",
                        servers,
                        "wanted",
                        required,
                        "fencing",
                        fencingNumber);
                effects.add(new DutyEffect.OrderServers(pool, servers, fencingNumber));
            }
        });
    }

    /** Returns the reclaimable servers to run beyond the demand; as many as one zone holds, which may be reclaimed. */
    private static int spareServers(int required, ServiceRule.Scaling scaling) {
        int otherZones = Math.max(1, scaling.zonePrices().size() - 1);
        return Math.max(MINIMUM_SPARE_SERVERS, Math.ceilDiv(required, otherZones));
    }

    private ScalingPlan.State currentState(ServiceRule service, Board board, long bootNanos, long nowNanos) {
        Map<AvailabilityZone, Integer> ordinary = new HashMap<>();
        Map<AvailabilityZone, Integer> reclaimable = new HashMap<>();
        Set<AvailabilityZone> reclaimed = new HashSet<>();
        for (KnownServer server : board.registry().servers()) {
            if (!server.report().service().equals(service.name())) {
                continue;
            }
            AvailabilityZone zone = server.report().zone();
            if (server.ready()) {
                (server.report().reclaimable() ? reclaimable : ordinary).merge(zone, 1, Integer::sum);
            } else if (server.report().reclaimable()
                    && server.report().phase() == ServerPhase.LEAVING
                    && server.report().millisUntilReclaim().isPresent()) {
                reclaimed.add(zone);
            }
        }
        Map<AvailabilityZone, Integer> reclaimableLimit = new HashMap<>();
        shortageUntilNanos.forEach((zone, until) -> {
            if (nowNanos - until < 0) {
                reclaimableLimit.put(zone, reclaimable.getOrDefault(zone, 0));
            }
        });
        reclaimed.forEach(zone -> reclaimableLimit.put(zone, 0));
        Map<AvailabilityZone, Integer> starting = new HashMap<>();
        orders.forEach((pool, order) -> {
            boolean recent = nowNanos - order.sentNanos() - START_GRACE_NANOS < bootNanos;
            if (pool.service().equals(service.name()) && pool.reclaimable() && recent) {
                int missing = order.servers() - reclaimable.getOrDefault(pool.zone(), 0);
                starting.put(pool.zone(), Math.max(0, missing));
            }
        });
        return new ScalingPlan.State(ordinary, reclaimable, starting, reclaimableLimit);
    }

    /** Returns how many servers of a pool are ready for work. */
    private static int countReady(ServerPool pool, Board board) {
        int count = 0;
        for (KnownServer server : board.registry().servers()) {
            boolean belongs = server.report().service().equals(pool.service())
                    && server.report().zone().equals(pool.zone())
                    && server.report().reclaimable() == pool.reclaimable();
            if (belongs && server.ready()) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns whether an order is to be sent. An order that the cloud API accepted may still not be reached: the API
     * limits it by what runs at that moment, and an earlier order may be executed late.
     */
    private boolean isOrderDue(ServerPool pool, int servers, int ready, long bootNanos, long nowNanos) {
        @Nullable PoolOrder order = orders.get(pool);
        if (order == null) {
            return servers != ready;
        }
        if (order.servers() != servers) {
            return true;
        }
        long since = nowNanos - order.sentNanos();
        if (!order.answered()) {
            return since >= RESEND_DELAY_NANOS;
        }
        return order.outcomeUnknown() && since >= LATE_EXECUTION_NANOS
                || servers != ready && since - START_GRACE_NANOS >= bootNanos;
    }

    private static int countReady(ServiceName service, Board board) {
        return (int) board.registry().servers().stream()
                .filter(server -> server.ready() && server.report().service().equals(service))
                .count();
    }

    private static boolean hasDemand(ServiceName service, Board board) {
        return board.duties().demands().values().stream()
                .anyMatch(reported -> reported.demands().get(service) instanceof ServiceDemand demand
                        && demand.promptTokensPerSecond() + demand.inFlight() + demand.waiting() > 0);
    }

    /** Returns the number of servers that the present demand requires, within the bounds of all zones together. */
    private static int requiredServers(ServiceRule service, ServiceRule.Scaling scaling, Board board) {
        double promptTokens = 0;
        double requests = 0;
        for (DutySection.ReportedDemand reported : board.duties().demands().values()) {
            @Nullable ServiceDemand demand = reported.demands().get(service.name());
            if (demand != null) {
                promptTokens += demand.promptTokensPerSecond();
                requests += demand.inFlight() + demand.waiting();
            }
        }
        double slots = service.engine().map(ServiceRule.Engine::slots).orElse(1L);
        double servers = Math.max(
                promptTokens / PROMPT_TOKENS_PER_SECOND_PER_SERVER, requests / (slots * TARGET_SLOT_UTILIZATION));
        int zones = scaling.zonePrices().size();
        long maximumOfZone = Math.min(scaling.maximumServers(), ServiceRule.Scaling.MAXIMUM_SERVERS);
        long required = Math.max(zones * (long) scaling.minimumServers(), (long) Math.ceil(servers));
        return (int) Math.min(Math.min(required, zones * maximumOfZone), ServiceRule.Scaling.MAXIMUM_SERVERS);
    }
}
