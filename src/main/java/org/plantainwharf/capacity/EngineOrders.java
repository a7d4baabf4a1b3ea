package org.plantainwharf.capacity;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.server.ServerEntry;
import org.plantainwharf.server.ServerKind;

/**
 * Orders models for engines that have none loaded. An order states the complete set of models, is repeated until
 * exactly this set is read back from the engine, and carries the fencing number of the leader's term. First orders are
 * spaced out, because the throughput of the weight store is limited. Stateless; works on the capacity section.
 */
final class EngineOrders {
    /**
     * Interval between loads. The weight store delivers a model in about this time; concurrent loads slow each other
     * down.
     */
    static final long LOAD_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(20);

    /**
     * Time for which a new leader sends no orders to an engine that ignores fencing numbers, since such an engine obeys
     * former leaders too. Covers the lease of the previous leader (900 ms) and a process that was frozen right after it
     * checked its lease (3 s).
     */
    static final long UNFENCED_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(3_900);

    private static final long ORDER_RETRY_NANOS = TimeUnit.SECONDS.toNanos(5);

    private EngineOrders() {}

    static void onAnswer(ServerEvent.EngineOrderAnswered event, Board board, long nowNanos, Effects effects) {
        CapacitySection section = board.capacity();
        EngineOrder order = section.engineOrders().get(event.server());
        boolean currentLeadership = section.leadership()
                .filter(known -> known.fencingNumber() == event.fencingNumber())
                .isPresent();
        if (order == null || !currentLeadership) {
            return;
        }
        if (order.matches(event.reportedModels())) {
            section.engineOrders().put(event.server(), order.asConfirmed());
        } else {
            effects.count(event.accepted() ? "capacity.engine_states_wrong" : "capacity.engine_orders_refused");
        }
    }

    /**
     * Sends the orders that are due.
     *
     * @param validUntilNanos end of the leader's lease, until which the orders may be sent
     */
    static void review(
            Board board, CapacitySection.Leadership leadership, long validUntilNanos, long nowNanos, Effects effects) {
        CapacitySection section = board.capacity();
        section.engineOrders()
                .keySet()
                .removeIf(server -> board.servers().server(server).isEmpty());
        for (ServerEntry entry : board.servers().servers()) {
            if (!entry.acceptsNewWork(nowNanos)
                    || !(entry.announcement().kind() instanceof ServerKind.ModelEngine engine)
                    || (!engine.checksFencing() && nowNanos - leadership.sinceNanos() < UNFENCED_DELAY_NANOS)) {
                continue;
            }
            EngineOrder order = section.engineOrders().get(entry.server());
            if (order != null && order.incarnation() == entry.announcement().incarnation()) {
                if (!order.confirmed() && nowNanos - order.lastSentNanos() >= ORDER_RETRY_NANOS) {
                    send(entry, order.resent(nowNanos), leadership, validUntilNanos, board, effects);
                }
            } else if (engine.models().isEmpty() && mayLoad(section, nowNanos)) {
                modelWithMostWork(board, nowNanos).ifPresent(model -> {
                    section.setLastLoadNanos(nowNanos);
                    EngineOrder first =
                            new EngineOrder(entry.announcement().incarnation(), Set.of(model), nowNanos, false);
                    send(entry, first, leadership, validUntilNanos, board, effects);
                });
            }
        }
    }

    private static boolean mayLoad(CapacitySection section, long nowNanos) {
        return section.lastLoadNanos().isEmpty()
                || nowNanos - section.lastLoadNanos().getAsLong() >= LOAD_INTERVAL_NANOS;
    }

    private static void send(
            ServerEntry entry,
            EngineOrder order,
            CapacitySection.Leadership leadership,
            long validUntilNanos,
            Board board,
            Effects effects) {
        board.capacity().engineOrders().put(entry.server(), order);
        effects.count("capacity.engine_orders");
        effects.add(new ServerEffect.OrderModels(
                entry.server(),
                entry.announcement().address(),
                order.models(),
                leadership.fencingNumber(),
                validUntilNanos));
    }

    /** Returns the model with the most work per engine that has it loaded or ordered, or empty without any work. */
    private static Optional<ModelName> modelWithMostWork(Board board, long nowNanos) {
        Map<ModelName, Integer> work = new HashMap<>();
        Map<ModelName, Integer> engines = new HashMap<>();
        for (ServerEntry entry : board.servers().servers()) {
            if (entry.acceptsNewWork(nowNanos)
                    && entry.announcement().kind() instanceof ServerKind.ModelEngine engine) {
                for (ModelName model : engine.models()) {
                    engines.merge(model, 1, Integer::sum);
                    work.merge(model, entry.estimatedLoad(), Integer::sum);
                }
            }
        }
        for (EngineOrder order : board.capacity().engineOrders().values()) {
            if (!order.confirmed()) {
                order.models().forEach(model -> engines.merge(model, 1, Integer::sum));
            }
        }
        for (CallEntry call : board.calls().calls()) {
            switch (call.call().kind()) {
                case CallKind.Model model -> work.merge(model.model(), 1, Integer::sum);
                case CallKind.LongWork longWork -> work.merge(longWork.model().model(), 1, Integer::sum);
                case CallKind.Service ignored -> {}
                case CallKind.Order ignored -> {}
            }
        }
        return work.keySet().stream()
                .max(Comparator.comparingDouble((ModelName model) ->
                                (1.0 + work.getOrDefault(model, 0)) / (0.5 + engines.getOrDefault(model, 0)))
                        .thenComparing(ModelName::value));
    }
}
