package org.plantainwharf.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.settings.Settings;

/**
 * Simulates several daemons and backend servers on a virtual clock. Announcements, their answers and relayed leases are
 * delayed and lost, announcements also duplicated; hosts freeze; a zone is partitioned from the others. Every run with
 * the same seed is identical. Used by one thread.
 */
final class SimulatedFleet {
    static final long MILLI = 1_000_000;
    static final long LEASE_NANOS = 3_000 * MILLI;
    static final long LEAVING_BOUND_NANOS = 5_000 * MILLI;

    private static final long STEP_NANOS = 50 * MILLI;
    private static final long ANNOUNCEMENT_PERIOD_NANOS = 1_000 * MILLI;
    private static final int HOSTS = 4;
    private static final int SERVERS = 2;

    /** Probability of each fault per step in a run with faults. */
    private static final double FAULT_RATE = 0.01;

    /** An event that is delivered later, unless its link closes before. */
    private record Delivery(long atNanos, int linkEpoch, Event event) {}

    private record Link(HostId from, HostId to) {}

    /** A backend server, reduced to its announcements. */
    private static final class SimulatedServer {
        private final ServerId server;
        private final Map<HostId, Long> tokens = new HashMap<>();
        private final Map<Long, Long> lastAvailableNanos = new HashMap<>();
        private long incarnation = 1;
        private long sequence;
        private long nextAnnouncementNanos;
        private boolean leaving;
        private long leavingNanos;

        private SimulatedServer(ServerId server) {
            this.server = server;
        }
    }

    private final Random random;
    private final boolean faults;
    private final double slowRate;
    private final double lossRate;
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final List<SimulatedServer> servers = new ArrayList<>();
    private final Map<Link, Deque<Delivery>> links = new HashMap<>();
    private final Map<Set<HostId>, Integer> epochs = new HashMap<>();
    private final Map<Set<HostId>, Long> reopenNanos = new HashMap<>();
    private final Map<Long, SimulatedServer> tickets = new HashMap<>();
    private final List<Runnable> scheduledActions = new ArrayList<>();
    private final List<Long> scheduledNanos = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private int acceptedCount;
    private long isolatedUntilNanos = Long.MIN_VALUE;
    private AvailabilityZone isolatedZone = AvailabilityZone.of("none");
    private long lastTicket;
    private long nowNanos;

    SimulatedFleet(long seed, boolean faults, LeaseStart leaseStart) {
        this.random = new Random(seed);
        this.faults = faults;
        this.slowRate = faults ? random.nextDouble() * 0.7 : 0;
        this.lossRate = faults ? random.nextDouble() * 0.7 : 0;
        List<Settings.HostEntry> entries = new ArrayList<>();
        for (int index = 0; index < HOSTS; index++) {
            entries.add(new Settings.HostEntry(
                    HostId.of("host-" + index), AvailabilityZone.of("zone-" + index % 3), "127.0.0.1:1", false));
        }
        for (Settings.HostEntry entry : entries) {
            hosts.add(new SimulatedHost(entry.host(), entries, leaseStart, random.nextLong() / 4, random.nextLong()));
        }
        for (int index = 0; index < SERVERS; index++) {
            servers.add(new SimulatedServer(ServerId.of("server-" + index)));
        }
        for (SimulatedHost one : hosts) {
            for (SimulatedHost other : hosts) {
                if (one != other) {
                    links.put(new Link(one.host(), other.host()), new ArrayDeque<>());
                    reopenNanos.put(Set.of(one.host(), other.host()), 0L);
                    epochs.put(Set.of(one.host(), other.host()), 0);
                }
            }
        }
    }

    /** Runs for a time and returns all violations found so far. */
    List<String> run(long forNanos) {
        for (long end = nowNanos + forNanos; nowNanos < end; nowNanos += STEP_NANOS) {
            if (faults) {
                injectFaults();
            }
            openLinks();
            servers.forEach(this::announce);
            runScheduledActions();
            deliver();
            for (SimulatedHost host : hosts) {
                host.step(nowNanos).forEach(effect -> execute(host, effect));
                checkInvariants(host);
            }
        }
        return violations;
    }

    /** Returns in how many checks a host would have sent new work to a server. */
    int acceptedCount() {
        return acceptedCount;
    }

    /** Returns whether every host would send new work to every server now. */
    boolean everyServerAcceptedEverywhere() {
        return hosts.stream().allMatch(host -> servers.stream()
                .allMatch(announcer -> host.acceptsNewWork(announcer.server, nowNanos)));
    }

    /** Makes a server announce that it is leaving. */
    void leave(int server) {
        SimulatedServer announcer = servers.get(server);
        announcer.leaving = true;
        announcer.leavingNanos = nowNanos;
        announcer.nextAnnouncementNanos = nowNanos;
    }

    private void injectFaults() {
        if (random.nextDouble() < FAULT_RATE) {
            hosts.get(random.nextInt(HOSTS)).freezeUntil(nowNanos + random.nextLong(6_000) * MILLI);
        }
        if (random.nextDouble() < FAULT_RATE) {
            isolatedZone = hosts.get(random.nextInt(HOSTS)).zone();
            isolatedUntilNanos = nowNanos + random.nextLong(8_000) * MILLI;
        }
        if (random.nextDouble() < FAULT_RATE / 2) {
            int server = random.nextInt(SERVERS);
            if (servers.get(server).leaving) {
                restart(servers.get(server));
            } else {
                leave(server);
            }
        }
    }

    private static void restart(SimulatedServer server) {
        server.incarnation++;
        server.sequence = 0;
        server.leaving = false;
        server.tokens.clear();
    }

    private boolean partitioned(HostId one, HostId other) {
        return nowNanos < isolatedUntilNanos
                && zone(one).equals(isolatedZone) != zone(other).equals(isolatedZone);
    }

    private AvailabilityZone zone(HostId host) {
        return find(host).zone();
    }

    private SimulatedHost find(HostId host) {
        return hosts.stream()
                .filter(candidate -> candidate.host().equals(host))
                .findFirst()
                .orElseThrow();
    }

    private long delayNanos() {
        boolean slow = random.nextDouble() < slowRate;
        return (slow ? random.nextLong(8_000) : 1 + random.nextLong(5)) * MILLI;
    }

    private void schedule(long delayNanos, Runnable action) {
        scheduledNanos.add(nowNanos + delayNanos);
        scheduledActions.add(action);
    }

    private void runScheduledActions() {
        for (int index = 0; index < scheduledActions.size(); ) {
            if (scheduledNanos.get(index) <= nowNanos) {
                scheduledNanos.remove(index);
                scheduledActions.remove(index).run();
            } else {
                index++;
            }
        }
    }

    private void announce(SimulatedServer server) {
        if (nowNanos < server.nextAnnouncementNanos) {
            return;
        }
        server.nextAnnouncementNanos =
                nowNanos + ANNOUNCEMENT_PERIOD_NANOS / 2 + random.nextLong(ANNOUNCEMENT_PERIOD_NANOS / 2);
        server.sequence++;
        if (!server.leaving) {
            server.lastAvailableNanos.put(server.incarnation, nowNanos);
        }
        SimulatedHost host = hosts.get(random.nextInt(HOSTS));
        Announcement announcement = new Announcement(
                server.server,
                server.incarnation,
                server.sequence,
                "127.0.0.1:1",
                host.zone(),
                HostClass.of("large"),
                new ServerKind.PlainService(Set.of(RouteName.of("orders"))),
                4,
                LoadReport.idle(),
                server.leaving);
        long token = server.tokens.getOrDefault(host.host(), 0L);
        int copies = random.nextDouble() < lossRate ? random.nextInt(3) : 1;
        for (int copy = 0; copy < copies; copy++) {
            lastTicket++;
            long ticket = lastTicket;
            tickets.put(ticket, server);
            schedule(delayNanos(), () -> host.receive(new ServerEvent.ServerAnnounced(announcement, token, ticket)));
        }
    }

    private void execute(SimulatedHost host, Effect effect) {
        if (effect instanceof ServerEffect.AnswerAnnouncement answer) {
            SimulatedServer server = Objects.requireNonNull(tickets.remove(answer.ticket()));
            schedule(delayNanos(), () -> server.tokens.put(host.host(), answer.token()));
        } else if (effect instanceof PeerEffect.CloseLink close) {
            closeLink(host.host(), close.peer());
        } else if (effect instanceof PeerEffect.SendToPeer send) {
            Deque<Delivery> link = queue(host.host(), send.peer());
            boolean lost = random.nextDouble() < lossRate / 4;
            if (!lost && isOpen(host.host(), send.peer())) {
                long at = nowNanos + delayNanos();
                Delivery last = link.peekLast();
                link.add(new Delivery(
                        last == null ? at : Math.max(at, last.atNanos()),
                        epoch(host.host(), send.peer()),
                        new PeerEvent.PeerMessageReceived(
                                host.host(), host.board().membership().incarnation(), send.message())));
            }
        }
    }

    private Deque<Delivery> queue(HostId from, HostId to) {
        return Objects.requireNonNull(links.get(new Link(from, to)));
    }

    private int epoch(HostId one, HostId other) {
        return Objects.requireNonNull(epochs.get(Set.of(one, other)));
    }

    private boolean isOpen(HostId one, HostId other) {
        return !reopenNanos.containsKey(Set.of(one, other));
    }

    private void closeLink(HostId one, HostId other) {
        if (isOpen(one, other)) {
            epochs.merge(Set.of(one, other), 1, Integer::sum);
            reopenNanos.put(Set.of(one, other), nowNanos + random.nextLong(1_000) * MILLI);
            notifyLinkState(one, other, false);
            notifyLinkState(other, one, false);
        }
    }

    private void openLinks() {
        for (Map.Entry<Set<HostId>, Long> pair : List.copyOf(reopenNanos.entrySet())) {
            List<HostId> ends = pair.getKey().stream()
                    .sorted(java.util.Comparator.comparing(HostId::value))
                    .toList();
            if (pair.getValue() <= nowNanos && !partitioned(ends.get(0), ends.get(1))) {
                reopenNanos.remove(pair.getKey());
                notifyLinkState(ends.get(0), ends.get(1), true);
                notifyLinkState(ends.get(1), ends.get(0), true);
            }
        }
    }

    private void notifyLinkState(HostId to, HostId about, boolean open) {
        long incarnation = find(about).board().membership().incarnation();
        find(to).receive(
                        open
                                ? new PeerEvent.PeerConnected(about, zone(about), incarnation)
                                : new PeerEvent.PeerDisconnected(about, incarnation));
    }

    private void deliver() {
        for (SimulatedHost from : hosts) {
            for (SimulatedHost to : hosts) {
                if (from != to && !partitioned(from.host(), to.host())) {
                    Deque<Delivery> link = queue(from.host(), to.host());
                    while (!link.isEmpty() && link.peek().atNanos() <= nowNanos) {
                        Delivery delivery = link.remove();
                        if (delivery.linkEpoch() == epoch(from.host(), to.host())) {
                            to.receive(delivery.event());
                        }
                    }
                }
            }
        }
    }

    private void checkInvariants(SimulatedHost host) {
        if (host.frozen(nowNanos)) {
            return;
        }
        for (SimulatedServer server : servers) {
            Optional<ServerEntry> entry = host.board().servers().server(server.server);
            if (entry.isEmpty()) {
                continue;
            }
            long incarnation = entry.get().announcement().incarnation();
            if (host.acceptsNewWork(server.server, nowNanos)) {
                acceptedCount++;
                if (server.leaving
                        && incarnation == server.incarnation
                        && nowNanos - server.leavingNanos > LEAVING_BOUND_NANOS) {
                    violations.add(host.host() + " sends new work to " + server.server + " at " + nowNanos / MILLI
                            + " ms, which announced leaving at " + server.leavingNanos / MILLI + " ms");
                }
            }
            long lastAvailable =
                    Objects.requireNonNull(server.lastAvailableNanos.getOrDefault(incarnation, Long.MIN_VALUE / 2));
            host.leaseEnd(entry.get(), nowNanos)
                    .filter(end -> end > lastAvailable + LEASE_NANOS)
                    .ifPresent(end -> violations.add(host.host() + " holds a lease of " + server.server + " until "
                            + end / MILLI + " ms, which last announced itself as available at " + lastAvailable / MILLI
                            + " ms"));
        }
    }
}
