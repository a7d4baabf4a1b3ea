package org.plantainwharf.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.plantainwharf.board.Board;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.decision.DecisionHarness;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.membership.Member;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.settings.Settings;

/**
 * Fixture for {@link LimitController}: several hosts with a simulated network that loses and delays messages, monotonic
 * clocks with arbitrary offsets and drift, and a leader that changes as the replicated log allows: the lease of one
 * leader ends before the next leads.
 */
final class LimitFleet {
    static final AccountName ACCOUNT = AccountName.of("big");
    static final double LIMIT = 100;

    private static final long STEP_NANOS = 50_000_000;
    private static final long LEASE_NANOS = 900_000_000;

    private final List<Host> hosts = new ArrayList<>();
    private final PriorityQueue<Delivery> network =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atNanos).thenComparingLong(Delivery::order));
    private final SplittableRandom random;
    private final double loss;
    private final long maximumDelayNanos;
    private long nowNanos;
    private long deliveries;
    private int leader = -1;
    private int hostWithoutLeader = -1;
    private long leaderUntilNanos = Long.MAX_VALUE;

    LimitFleet(int count, long seed, double loss, long maximumDelayNanos, double maximumDrift) {
        this.random = new SplittableRandom(seed);
        this.loss = loss;
        this.maximumDelayNanos = maximumDelayNanos;
        for (int index = 0; index < count; index++) {
            Settings settings = DecisionHarness.settings(count);
            Settings own = new Settings(
                    HostId.of("h" + index),
                    settings.zone(),
                    settings.hostClass(),
                    settings.callerAddress(),
                    settings.operatorAddress(),
                    settings.peerAddress(),
                    settings.dataFolder(),
                    settings.hosts(),
                    settings.recordGroups(),
                    settings.timings(),
                    settings.bounds());
            Board board = Board.create(own, 1, index);
            board.configuration().putInForce(DecisionHarness.sheet(LIMIT));
            double drift = 1 + maximumDrift * (2 * random.nextDouble() - 1);
            hosts.add(new Host(
                    own.host(),
                    ControlCycle.create(board, List.of(MembershipController.create(), LimitController.create())),
                    random.nextLong(1L << 40),
                    drift));
        }
    }

    /** Makes a host follow the control group without knowing its leader, as hosts without a disk may do. */
    void hideLeaderFrom(int host) {
        hostWithoutLeader = host;
    }

    /** Makes a host the leader; its predecessor's lease must have ended. */
    void lead(int host) {
        leader = host;
        leaderUntilNanos = Long.MAX_VALUE;
        run(hosts.get(host), new ReplicationEvent.LeadershipChanged(0, 1, true));
    }

    /** Isolates the leader: it keeps its lease until the lease ends, and then learns that it no longer leads. */
    void isolateLeader() {
        leaderUntilNanos = nowNanos + LEASE_NANOS;
    }

    boolean hasLeader() {
        return leader >= 0;
    }

    /** Runs one step: deliveries, the given number of arriving calls per host, and ticks, which send heartbeats. */
    void step(int[] arrivals) {
        nowNanos += STEP_NANOS;
        if (leader >= 0 && nowNanos >= leaderUntilNanos) {
            run(hosts.get(leader), new ReplicationEvent.LeadershipChanged(0, 1, false));
            leader = -1;
        }
        for (int index = 0; index < hosts.size(); index++) {
            Host host = hosts.get(index);
            boolean leads = index == leader;
            host.cycle()
                    .board()
                    .consensus()
                    .put(new GroupStatus(
                            0,
                            leader < 0 || index == hostWithoutLeader
                                    ? Optional.empty()
                                    : Optional.of(hosts.get(leader).id()),
                            leads,
                            1,
                            1,
                            1,
                            leads ? host.clock(nowNanos) + STEP_NANOS : 0,
                            host.clock(nowNanos),
                            true));
        }
        while (!network.isEmpty() && network.peek().atNanos() <= nowNanos) {
            Delivery delivery = network.remove();
            deliver(delivery);
        }
        for (int index = 0; index < hosts.size(); index++) {
            Host host = hosts.get(index);
            for (int call = 0; call < arrivals[index]; call++) {
                DecisionHarness calls = DecisionHarness.withoutSheet();
                run(host, new CallEvent.CallArrived(calls.modelCall("r", ACCOUNT.value(), "urgent")));
            }
            openLinks(host);
            run(host, new TimerEvent.Tick());
        }
    }

    /** Returns the sum of the rates that all hosts may use now. */
    double usableRate() {
        double sum = 0;
        for (Host host : hosts) {
            sum += usableRate(host);
        }
        return sum;
    }

    double usableRate(int host) {
        return usableRate(hosts.get(host));
    }

    private double usableRate(Host host) {
        return host.cycle().board().limits().usableRate(ACCOUNT, LIMIT, hosts.size(), host.clock(nowNanos));
    }

    /** Reopens links that the membership controller closed because the peer was silent. */
    private void openLinks(Host from) {
        for (Host to : hosts) {
            boolean linked = from.cycle()
                    .board()
                    .membership()
                    .member(to.id())
                    .map(Member::linked)
                    .orElse(false);
            if (to != from && !linked) {
                run(
                        from,
                        new PeerEvent.PeerConnected(
                                to.id(), to.cycle().board().membership().zone(), 1));
            }
        }
    }

    private void send(Host from, Host to, PeerMessage message) {
        if (random.nextDouble() >= loss) {
            deliveries++;
            network.add(new Delivery(nowNanos + random.nextLong(maximumDelayNanos + 1), deliveries, from, to, message));
        }
    }

    private void deliver(Delivery delivery) {
        run(delivery.to(), new PeerEvent.PeerMessageReceived(delivery.from().id(), 1, delivery.message()));
    }

    private void run(Host host, Event event) {
        for (Effect effect : host.cycle().run(event, host.clock(nowNanos), 0)) {
            if (effect instanceof PeerEffect.SendToPeer send) {
                Host to = hosts.stream()
                        .filter(candidate -> candidate.id().equals(send.peer()))
                        .findFirst()
                        .orElseThrow();
                send(host, to, send.message());
            }
        }
    }

    private record Host(HostId id, ControlCycle cycle, long offset, double drift) {
        long clock(long nowNanos) {
            return offset + (long) (nowNanos * drift);
        }
    }

    private record Delivery(long atNanos, long order, Host from, Host to, PeerMessage message) {}
}
