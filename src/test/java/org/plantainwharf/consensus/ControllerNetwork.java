package org.plantainwharf.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.settings.Settings;

/**
 * Runs the consensus controllers of several hosts on a virtual clock. Messages are delivered and writes are synced
 * without delay. Not thread-safe.
 */
final class ControllerNetwork {
    private final Map<HostId, Daemon> daemons = new LinkedHashMap<>();
    private final Map<String, Long> counts = new LinkedHashMap<>();
    private final Set<HostId> stopped = new HashSet<>();
    private final Queue<Runnable> deliveries = new ArrayDeque<>();
    private long nowNanos;

    /** One host and the replication events that its controllers received. */
    private record Daemon(ControlCycle cycle, ListStateMachine machine, List<ReplicationEvent> events) {}

    private ControllerNetwork(int voters, int learners) {
        List<Settings.HostEntry> entries = new ArrayList<>();
        for (int index = 0; index < voters + learners; index++) {
            entries.add(new Settings.HostEntry(
                    HostId.of("host-" + index), AvailabilityZone.of("zone-a"), "127.0.0.1:0", index < voters));
        }
        for (int index = 0; index < entries.size(); index++) {
            HostId host = entries.get(index).host();
            Settings settings = new Settings(
                    host,
                    AvailabilityZone.of("zone-a"),
                    HostClass.of("small"),
                    "127.0.0.1:0",
                    "127.0.0.1:0",
                    "127.0.0.1:0",
                    Optional.empty(),
                    entries,
                    1,
                    Settings.Timings.defaults(),
                    new Settings.Bounds(1, 1, 1, 1, 1, 1, 8));
            ListStateMachine machine = new ListStateMachine();
            ConsensusController controller = ConsensusController.create(
                    settings,
                    index < voters ? index + 1 : 0,
                    group -> RecoveredGroup.empty(),
                    group -> group == 0 ? machine : new ListStateMachine(),
                    ReplicaOptions.defaults(),
                    new SplittableRandom(index),
                    0);
            List<ReplicationEvent> seen = new ArrayList<>();
            Controller recorder = (event, board, now, effects) -> {
                if (event instanceof ReplicationEvent replication) {
                    seen.add(replication);
                }
            };
            ControlCycle cycle = ControlCycle.create(Board.create(settings, 1, index), List.of(controller, recorder));
            daemons.put(host, new Daemon(cycle, machine, seen));
        }
    }

    static ControllerNetwork create(int voters, int learners) {
        return new ControllerNetwork(voters, learners);
    }

    Board board(HostId host) {
        return daemon(host).cycle().board();
    }

    ListStateMachine machine(HostId host) {
        return daemon(host).machine();
    }

    <T extends ReplicationEvent> List<T> events(HostId host, Class<T> type) {
        return daemon(host).events().stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    long count(String metric) {
        return counts.getOrDefault(metric, 0L);
    }

    Optional<HostId> leader(int group) {
        return daemons.keySet().stream()
                .filter(host -> !stopped.contains(host)
                        && board(host).consensus().group(group).holdsLease(nowNanos))
                .findFirst();
    }

    void stop(HostId host) {
        stopped.add(host);
    }

    void post(HostId host, Event event) {
        if (!stopped.contains(host)) {
            daemon(host).cycle().run(event, nowNanos, 0).forEach(effect -> execute(host, effect));
        }
        while (!deliveries.isEmpty()) {
            deliveries.remove().run();
        }
    }

    void run(long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            nowNanos += TimeUnit.MILLISECONDS.toNanos(50);
            daemons.keySet().forEach(host -> post(host, new TimerEvent.Tick()));
        }
    }

    private Daemon daemon(HostId host) {
        return Objects.requireNonNull(daemons.get(host));
    }

    private void execute(HostId host, Effect effect) {
        switch (effect) {
            case PeerEffect.SendToPeer send ->
                deliveries.add(() -> deliver(send.peer(), new PeerEvent.PeerMessageReceived(host, 1, send.message())));
            case StorageEffect.WriteLog write ->
                deliveries.add(() -> deliver(host, new StorageEvent.WriteSynced(write.group(), write.writeNumber())));
            case StorageEffect.WriteSnapshot write ->
                deliveries.add(() -> deliver(host, new StorageEvent.SnapshotSynced(write.group(), write.lastIndex())));
            case CountEffect count -> counts.merge(count.metric(), count.amount(), Long::sum);
            default -> throw new IllegalStateException("unexpected effect " + effect);
        }
    }

    private void deliver(HostId host, Event event) {
        if (!stopped.contains(host)) {
            daemon(host).cycle().run(event, nowNanos, 0).forEach(effect -> execute(host, effect));
        }
    }
}
