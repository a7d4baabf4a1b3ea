package org.plantainwharf.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.board.Board;
import org.plantainwharf.configuration.ControlState;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.PlatformEffect;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.PlatformEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.server.Announcement;
import org.plantainwharf.server.LoadReport;
import org.plantainwharf.server.ServerEntry;
import org.plantainwharf.server.ServerKind;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.sheet.Budget;
import org.plantainwharf.sheet.Sheet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against host starts that are ordered twice or without a committed record, and against engine orders of a
 * daemon that is no longer the leader.
 */
class CapacityControllerTest {
    private static final long MILLI = 1_000_000;
    private static final AvailabilityZone ZONE = AvailabilityZone.of("zone-1");
    private static final HostClass CLASS = HostClass.of("spot");
    private static final ModelName MODEL = ModelName.of("model-1");

    /** A control daemon whose proposals are committed at once while {@code commitEnabled}, else stay undecided. */
    private static final class ControlHost {
        private final Board board;
        private final ControlCycle cycle;
        private boolean commitEnabled = true;
        private long leaseUntilNanos;

        private ControlHost(String name) {
            HostId host = HostId.of(name);
            board = Board.create(
                    new Settings(
                            host,
                            ZONE,
                            HostClass.of("small"),
                            "127.0.0.1:0",
                            "127.0.0.1:0",
                            "127.0.0.1:0",
                            Optional.empty(),
                            List.of(new Settings.HostEntry(host, ZONE, "127.0.0.1:1", true)),
                            1,
                            Settings.Timings.defaults(),
                            Settings.Bounds.defaults()),
                    1,
                    1);
            Controller commit = (event, board, nowNanos, effects) -> {
                if (commitEnabled && event instanceof ReplicationEvent.ProposalRequested requested) {
                    ControlState state = board.configuration().state();
                    CommandResult result = state.apply(requested.command());
                    effects.post(new ReplicationEvent.ProposalDecided(requested.proposalId(), result));
                    effects.post(new ReplicationEvent.EntryApplied(0, 1, requested.command(), result));
                }
            };
            cycle = ControlCycle.create(board, List.of(commit, CapacityController.create()));
            board.configuration()
                    .putInForce(new Sheet(
                            1, "digest", Map.of(), Map.of(), Map.of(), List.of(new Budget(ZONE, CLASS, 1, 10, true))));
        }

        private List<Effect> becomeLeader(long term, long nowMillis, long leaseMillis) {
            leaseUntilNanos = (nowMillis + leaseMillis) * MILLI;
            board.consensus()
                    .put(new GroupStatus(
                            0,
                            Optional.of(board.membership().self()),
                            true,
                            term,
                            0,
                            0,
                            leaseUntilNanos,
                            nowMillis * MILLI,
                            true));
            return handle(new ReplicationEvent.LeadershipChanged(0, term, true), nowMillis);
        }

        private List<Effect> handle(Event event, long nowMillis) {
            return cycle.run(event, nowMillis * MILLI, 0);
        }

        private List<Effect> tick(long nowMillis) {
            return handle(new TimerEvent.Tick(), nowMillis);
        }

        private void addServer(String name, boolean checksFencing, Set<ModelName> models, int load, long nowMillis) {
            Announcement announcement = new Announcement(
                    ServerId.of(name),
                    1,
                    1,
                    "127.0.0.1:80",
                    ZONE,
                    CLASS,
                    new ServerKind.ModelEngine(models, checksFencing, false),
                    4,
                    new LoadReport(load, 0, 0),
                    false);
            ServerEntry entry = ServerEntry.create(announcement);
            entry.renew(announcement, (nowMillis + 1_000_000) * MILLI, nowMillis * MILLI);
            board.servers().put(entry);
        }
    }

    private final ControlHost host = new ControlHost("host-1");

    private static List<ServerEffect.OrderModels> orders(List<Effect> effects) {
        return effects.stream()
                .filter(ServerEffect.OrderModels.class::isInstance)
                .map(ServerEffect.OrderModels.class::cast)
                .toList();
    }

    /** Ticks once a second and returns the ordered host starts. */
    private static List<PlatformEffect.StartHost> startsBetween(ControlHost host, int firstSecond, int endSecond) {
        List<PlatformEffect.StartHost> starts = new ArrayList<>();
        for (int second = firstSecond; second < endSecond; second++) {
            host.tick(second * 1_000L).stream()
                    .filter(PlatformEffect.StartHost.class::isInstance)
                    .map(PlatformEffect.StartHost.class::cast)
                    .forEach(starts::add);
        }
        return starts;
    }

    @Nested
    class HostStarts {
        @BeforeEach
        void overload() {
            // Six requests on four slots require two hosts, and one runs.
            host.addServer("server-1", true, Set.of(MODEL), 6, 0);
        }

        @Test
        void areCommittedBeforeTheyAreOrdered() {
            host.becomeLeader(1, 0, 600_000);
            host.commitEnabled = false;
            assertEquals(List.of(), startsBetween(host, 0, 20));
            host.commitEnabled = true;
            assertEquals(1, startsBetween(host, 20, 40).size());
            assertEquals(1, host.board.configuration().state().hostStarts().size());
        }

        @Test
        void areOrderedOnceForTheMissingHost() {
            host.becomeLeader(1, 0, 600_000);
            assertEquals(1, startsBetween(host, 0, 30).size());
        }

        @Test
        void shortBurstStartsNothing() {
            host.becomeLeader(1, 0, 600_000);
            assertEquals(List.of(), startsBetween(host, 0, 4));
            host.addServer("server-1", true, Set.of(MODEL), 1, 4_000);
            assertEquals(List.of(), startsBetween(host, 4, 30));
        }

        @Test
        void areNotOrderedWithoutALease() {
            host.becomeLeader(1, 0, 4_000);
            assertEquals(List.of(), startsBetween(host, 0, 30));
            assertEquals(0, host.board.configuration().state().hostStarts().size());
        }

        @Test
        void areContinuedByANewLeaderWithTheSameToken() {
            host.becomeLeader(1, 0, 600_000);
            List<PlatformEffect.StartHost> before = startsBetween(host, 0, 10);
            assertEquals(1, before.size());
            assertEquals(before, startsBetween(successor(), 10, 30));
        }

        @Test
        void hostThatStillBootsIsNotOrderedAgainByANewLeader() {
            host.becomeLeader(1, 0, 600_000);
            PlatformEffect.StartHost start = startsBetween(host, 0, 10).getFirst();
            host.handle(new PlatformEvent.HostStarted(start.token(), "platform-7"), 10_000);
            ControlHost successor = successor();
            successor.handle(
                    new ReplicationEvent.EntryApplied(
                            0, 9, new Command.FinishHostStart(start.token(), "platform-7"), new CommandResult.Done()),
                    10_000);
            assertEquals(List.of(), startsBetween(successor, 10, 100));
        }

        private ControlHost successor() {
            ControlHost successor = new ControlHost("host-2");
            successor.addServer("server-1", true, Set.of(MODEL), 6, 0);
            successor
                    .board
                    .configuration()
                    .state()
                    .restore(host.board.configuration().state().records());
            successor.becomeLeader(2, 10_000, 600_000);
            return successor;
        }

        @Test
        void refusedOneBacksOffAndIsTriedUnderANewToken() {
            host.becomeLeader(1, 0, 600_000);
            PlatformEffect.StartHost start = startsBetween(host, 0, 10).getFirst();
            host.handle(new PlatformEvent.HostStartRefused(start.token(), ZONE, CLASS, "no capacity"), 10_000);
            assertEquals(List.of(), startsBetween(host, 10, 12), "the only pool is blocked after the refusal");
            List<PlatformEffect.StartHost> later = startsBetween(host, 12, 20);
            assertEquals(1, later.size());
            assertFalse(later.getFirst().token().equals(start.token()));
        }

        @Test
        void replaceAServerWhoseLeaseEnded() {
            host.addServer("server-2", true, Set.of(MODEL), 0, 0);
            host.becomeLeader(1, 0, 600_000);
            assertEquals(List.of(), startsBetween(host, 0, 10));
            host.board.servers().server(ServerId.of("server-2")).orElseThrow().endLease(10_000 * MILLI);
            assertEquals(1, startsBetween(host, 10, 20).size());
        }
    }

    @Nested
    class EngineOrdersOfTheLeader {
        @Test
        void carryFencingNumberAndEndOfTheLease() {
            host.addServer("server-1", true, Set.of(MODEL), 0, 0);
            host.addServer("server-2", true, Set.of(), 0, 0);
            host.becomeLeader(1, 0, 60_000);
            List<ServerEffect.OrderModels> orders = orders(host.tick(0));
            assertEquals(
                    List.of(new ServerEffect.OrderModels(
                            ServerId.of("server-2"), "127.0.0.1:80", Set.of(MODEL), 1, host.leaseUntilNanos)),
                    orders);
        }

        @Test
        void waitWhenTheEngineIgnoresFencing() {
            host.addServer("server-1", true, Set.of(MODEL), 0, 0);
            host.addServer("server-2", false, Set.of(), 0, 0);
            host.becomeLeader(1, 0, 60_000);
            for (long now = 0; now < 3_900; now += 50) {
                assertEquals(List.of(), orders(host.tick(now)), "at " + now + " ms");
            }
            assertEquals(1, orders(host.tick(4_000)).size());
        }

        @Test
        void areRepeatedUntilReadBackAsOrdered() {
            host.addServer("server-1", true, Set.of(MODEL), 0, 0);
            host.addServer("server-2", true, Set.of(), 0, 0);
            host.becomeLeader(1, 0, 600_000);
            assertEquals(1, orders(host.tick(0)).size());
            ServerId server = ServerId.of("server-2");
            host.handle(new ServerEvent.EngineOrderAnswered(server, 1, true, "model-9"), 1_000);
            assertEquals(1, orders(host.tick(5_000)).size());
            host.handle(new ServerEvent.EngineOrderAnswered(server, 1, true, "model-1"), 6_000);
            assertEquals(List.of(), orders(host.tick(20_000)));
        }

        @Test
        void areSpacedOutForTheWeightStore() {
            host.addServer("server-1", true, Set.of(MODEL), 0, 0);
            for (int empty = 2; empty <= 4; empty++) {
                host.addServer("server-" + empty, true, Set.of(), 0, 0);
            }
            host.becomeLeader(1, 0, 600_000);
            Map<ServerId, Long> first = new HashMap<>();
            for (long now = 0; now < 60_000; now += 1_000) {
                for (ServerEffect.OrderModels order : orders(host.tick(now))) {
                    first.putIfAbsent(order.server(), now);
                }
            }
            assertEquals(Set.of(0L, 20_000L, 40_000L), Set.copyOf(first.values()));
        }

        @Test
        void endWithTheLeadership() {
            host.addServer("server-1", true, Set.of(MODEL), 0, 0);
            host.addServer("server-2", true, Set.of(), 0, 0);
            host.becomeLeader(1, 0, 60_000);
            host.handle(new ReplicationEvent.LeadershipChanged(0, 2, false), 0);
            assertEquals(List.of(), orders(host.tick(1_000)));
        }

        @Test
        void answerWithAnotherFencingNumberIsIgnored() {
            host.addServer("server-1", true, Set.of(MODEL), 0, 0);
            host.addServer("server-2", true, Set.of(), 0, 0);
            host.becomeLeader(1, 0, 600_000);
            host.tick(0);
            host.handle(new ServerEvent.EngineOrderAnswered(ServerId.of("server-2"), 99, true, "model-1"), 1_000);
            assertEquals(
                    1,
                    orders(host.tick(6_000)).size(),
                    "an answer with another fencing number does not confirm the order");
        }
    }

    @Nested
    class Demand {
        @Test
        void growsWithLoadAndKeepsOneHostWhenIdle() {
            Sheet sheet = host.board.configuration().inForce().orElseThrow();
            assertEquals(1, HostDemand.requiredHosts(host.board, sheet, 0));
            host.addServer("server-1", true, Set.of(MODEL), 3, 0);
            assertEquals(
                    1,
                    HostDemand.requiredHosts(host.board, sheet, 0),
                    "three of four slots are the target utilization");
            host.addServer("server-2", true, Set.of(MODEL), 4, 0);
            assertEquals(3, HostDemand.requiredHosts(host.board, sheet, 0));
            assertTrue(host.board.capacity().requiredHosts() == 0, "a daemon that is not the leader requires no hosts");
        }
    }
}
