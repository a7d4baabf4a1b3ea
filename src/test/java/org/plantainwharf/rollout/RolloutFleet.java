package org.plantainwharf.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;

import io.vavr.control.Either;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Content;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.consensus.LogCopy;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.Controller;
import org.plantainwharf.document.CallerBounds;
import org.plantainwharf.document.DocumentController;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.effect.LogEffect;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.forward.ForwardController;
import org.plantainwharf.forward.ForwardHead;
import org.plantainwharf.forward.ForwardLimits;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.registry.RegistryController;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.testing.Samples;

/**
 * Entry and control daemons with the controllers of rollouts, a list of commands in place of a replicated log, and
 * servers of two versions, on a virtual clock. Messages are delayed; evidence is also repeated and late. Used by one
 * thread.
 */
final class RolloutFleet {
    static final ServiceName SERVICE = ServiceName.of("engines");
    static final ServerVersion OLD = ServerVersion.of("1.9");
    static final ServerVersion TARGET = ServerVersion.of("2.0");

    private static final AvailabilityZone ZONE = AvailabilityZone.of("a");
    private static final long TICK_MILLIS = 50;
    private static final long REPORT_MILLIS = 500;
    private static final long CONFIRMED_MILLIS = 150;
    private static final long REQUEST_MILLIS = 8;
    private static final int SERVERS = 5;

    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Command.Control> log = new ArrayList<>();
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::order));
    private final Map<Long, Running> running = new HashMap<>();
    private final List<LogEffect> lines = new ArrayList<>();
    private final List<Long> sentToTarget = new ArrayList<>();
    private final List<Long> sentToOld = new ArrayList<>();
    private final List<String> sentByCutOff = new ArrayList<>();
    private final Map<ErrorKind, Integer> refusals = new HashMap<>();
    private double targetFailures;
    private long targetReadyMillis = Long.MAX_VALUE;
    private boolean oldServed = true;
    private boolean quorum = true;
    private int leader;
    private long term = 1;
    private long nowMillis = 1_000;
    private long counter;
    private long requests;
    private long sequence;

    private record Task(long atMillis, long order, Runnable action) {}

    private record Running(Node node, long incarnation, ForwardEffect.StartForward start) {}

    /** A daemon. */
    static final class Node {
        private final HostId host;
        private final boolean control;
        private long incarnation;
        private boolean up;
        private boolean cutOff;
        private int applied;
        private ControlCycle cycle = ControlCycle.create(Samples.board("none", 1), List.of());

        private Node(String host, boolean control) {
            this.host = HostId.of(host);
            this.control = control;
        }

        Board board() {
            return cycle.board();
        }
    }

    private RolloutFleet(long seed) {
        random = new Random(seed);
        for (int index = 0; index < 3; index++) {
            nodes.add(new Node("core-" + index, true));
        }
        for (int index = 0; index < 6; index++) {
            nodes.add(new Node("edge-" + index, false));
        }
        log.add(new Command.ReplaceDocument(1, Content.of("application/json", new byte[] {1})));
        log.add(new Command.ListServerVersion(SERVICE, OLD));
        log.add(new Command.ListServerVersion(SERVICE, TARGET));
        nodes.forEach(this::start);
        schedule(0, this::reportServers);
        advance(1_500);
        schedule(0, this::request);
    }

    /** Returns a fleet that serves the old version. */
    static RolloutFleet create(long seed) {
        return new RolloutFleet(seed);
    }

    private void schedule(long delayMillis, Runnable action) {
        counter++;
        tasks.add(new Task(nowMillis + delayMillis, counter, action));
    }

    private long nanos() {
        return nowMillis * 1_000_000;
    }

    /** Runs the fleet for a time. */
    void advance(long millis) {
        long end = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= end) {
            Task task = tasks.remove();
            nowMillis = Math.max(nowMillis, task.atMillis());
            task.action().run();
        }
        nowMillis = end;
    }

    private static RouteRule route(String prefix, Repeatability repeatability, boolean resumable) {
        return new RouteRule(
                RouteName.of(prefix),
                "a.example",
                prefix,
                repeatability,
                5_000,
                300,
                0,
                List.of(new RouteRule.Share(SERVICE, 1)),
                3,
                true,
                resumable,
                0);
    }

    private static ServiceDocument document() {
        return new ServiceDocument(
                1,
                List.of(route("/stock/", Repeatability.SAFE, false), route("/review/", Repeatability.STREAM, true)),
                Map.of(SERVICE, new ServiceRule(SERVICE, 100, Optional.empty(), Optional.empty())),
                CallerBounds.defaults(),
                List.of());
    }

    private void start(Node node) {
        node.incarnation++;
        node.up = true;
        node.applied = 0;
        Board board = Board.create(Samples.settings(node.host.value()), node.incarnation, random.nextLong());
        Controller proposals = (event, ignored, now, effects) -> {
            if (event instanceof ReplicationEvent.ProposalRequested requested) {
                propose(node, requested);
            }
        };
        List<Controller> controllers = new ArrayList<>();
        controllers.add(MembershipController.create());
        controllers.add(node.control ? RegistryController.relaying() : RegistryController.learning());
        controllers.add(DocumentController.create(content -> Either.right(document())));
        controllers.add(proposals);
        if (node.control) {
            controllers.add(RolloutVerdictController.create(RolloutBounds.defaults()));
        } else {
            controllers.add(RolloutEvidenceController.create(RolloutBounds.defaults()));
            controllers.add(ForwardController.create(new ForwardLimits(0.5, 50, 8, 0, 0)));
        }
        node.cycle = ControlCycle.create(board, controllers);
        long incarnation = node.incarnation;
        schedule(random.nextLong(TICK_MILLIS), () -> tick(node, incarnation));
        schedule(100, () -> link(node));
    }

    private void link(Node node) {
        for (Node other : nodes) {
            if (other != node && other.up && node.up && (node.control || other.control)) {
                run(node, new PeerEvent.PeerConnected(other.host, ZONE, other.incarnation));
                run(other, new PeerEvent.PeerConnected(node.host, ZONE, node.incarnation));
            }
        }
    }

    /** Ends the process of a daemon and starts it again, empty, after a time. */
    void restart(Node node, long downMillis) {
        node.up = false;
        for (Node other : nodes) {
            if (other.up) {
                run(other, new PeerEvent.PeerDisconnected(node.host, node.incarnation));
            }
        }
        schedule(downMillis, () -> start(node));
    }

    List<Node> nodes() {
        return nodes;
    }

    List<Node> entries() {
        return nodes.stream().filter(node -> !node.control).toList();
    }

    /** Ends the leader's process; another control daemon leads after an election. */
    void loseLeader(long electionMillis) {
        Node former = nodes.get(leader);
        int next = (leader + 1) % 3;
        leader = -1;
        restart(former, 800);
        schedule(electionMillis, () -> {
            leader = next;
            term++;
        });
    }

    void setQuorum(boolean present) {
        quorum = present;
    }

    /** Cuts an entry daemon off from the log; it still reaches servers. */
    void cutOff(Node node, boolean cut) {
        node.cutOff = cut;
    }

    private void tick(Node node, long incarnation) {
        if (!node.up || node.incarnation != incarnation) {
            return;
        }
        boolean leading = quorum && leader >= 0 && nodes.get(leader) == node;
        if (quorum && !node.cutOff && leader >= 0) {
            apply(node);
            node.board().consensus().putCopy(0, new LogCopy.CompleteUntil(nanos() - CONFIRMED_MILLIS * 1_000_000));
        }
        node.board()
                .consensus()
                .put(new GroupStatus(
                        0,
                        Optional.empty(),
                        leading,
                        term,
                        node.applied,
                        node.applied,
                        leading ? nanos() + 900_000_000L : Long.MIN_VALUE,
                        nanos(),
                        node.control));
        run(node, new TimerEvent.Tick());
        schedule(TICK_MILLIS, () -> tick(node, incarnation));
    }

    private void apply(Node node) {
        while (node.applied < log.size()) {
            Command command = log.get(node.applied);
            node.applied++;
            CommandResult result = node.board().configuration().state().apply(command);
            run(node, new ReplicationEvent.EntryApplied(0, node.applied, command, result));
        }
    }

    private void propose(Node node, ReplicationEvent.ProposalRequested requested) {
        long incarnation = node.incarnation;
        schedule(10 + random.nextInt(20), () -> {
            if (quorum && requested.command() instanceof Command.Control control) {
                log.add(control);
                if (node.up && node.incarnation == incarnation) {
                    run(node, new ReplicationEvent.ProposalDecided(requested.proposalId(), new CommandResult.Done()));
                }
            } else if (node.up && node.incarnation == incarnation) {
                run(node, new ReplicationEvent.ProposalFailed(requested.proposalId(), ErrorKind.NO_QUORUM_NOT_RUN));
            }
        });
    }

    /** Orders a rollout, and starts the servers of the target some seconds later. */
    void order(long durationMillis, double failures) {
        targetFailures = failures;
        log.add(new Command.BeginRollout(SERVICE, TARGET, durationMillis, nowMillis));
        targetReadyMillis = nowMillis + 3_000;
    }

    /** Records a rollout to the version that is served, as it was completed some time ago. */
    void recordFormerRollout() {
        log.add(new Command.BeginRollout(SERVICE, OLD, 10_000, 0));
        log.add(new Command.FinishRollout(SERVICE, 1, new RolloutPhase.Completed()));
    }

    void startTargetServers() {
        targetReadyMillis = nowMillis;
    }

    void stopOldServers() {
        oldServed = false;
    }

    private void reportServers() {
        List<ServerReport> reports = new ArrayList<>();
        sequence++;
        for (int index = 0; index < SERVERS; index++) {
            reports.add(report("old-" + index, index, OLD, oldServed ? ServerPhase.READY : ServerPhase.GONE));
            if (nowMillis >= targetReadyMillis) {
                reports.add(report("new-" + index, SERVERS + index, TARGET, ServerPhase.READY));
            }
        }
        for (Node node : nodes) {
            if (node.up) {
                run(
                        node,
                        new PeerEvent.PeerMessageReceived(
                                HostId.of("core-9"), 1, new PeerMessage.ServerReports(reports)));
            }
        }
        schedule(REPORT_MILLIS, this::reportServers);
    }

    private ServerReport report(String server, int address, ServerVersion version, ServerPhase phase) {
        return new ServerReport(
                ServerId.of(server),
                1,
                sequence,
                SERVICE,
                "10.0.0." + address + ":80",
                ZONE,
                6,
                phase,
                0,
                false,
                OptionalLong.empty(),
                version);
    }

    private void request() {
        schedule(REQUEST_MILLIS, this::request);
        List<Node> up = entries().stream().filter(node -> node.up).toList();
        if (up.isEmpty()) {
            return;
        }
        Node node = up.get(random.nextInt(up.size()));
        counter++;
        requests++;
        run(
                node,
                new ForwardEvent.ForwardArrived(
                        counter,
                        ForwardHead.of(
                                "id-" + counter,
                                "a.example",
                                random.nextBoolean() ? "/stock/1" : "/review/1",
                                Optional.empty(),
                                OptionalLong.of(3_000),
                                Optional.empty(),
                                Fingerprint.of("content-" + counter)),
                        nanos()));
    }

    private void run(Node node, Event event) {
        for (Effect effect : node.cycle.run(event, nanos(), nowMillis)) {
            if (effect instanceof PeerEffect.SendToPeer send) {
                send(node, send);
            } else if (effect instanceof ForwardEffect.StartForward start) {
                started(node, start);
            } else if (effect instanceof ForwardEffect.RefuseForward refuse) {
                refusals.merge(refuse.failure().kind(), 1, Integer::sum);
            } else if (effect instanceof ForwardEffect.CancelForward cancel) {
                schedule(1, () -> end(cancel.ticket(), new ForwardOutcome.Cancelled(0, false)));
            } else if (effect instanceof LogEffect line) {
                lines.add(line);
            }
        }
    }

    private void send(Node from, PeerEffect.SendToPeer send) {
        Node to = nodes.stream()
                .filter(node -> node.host.equals(send.peer()))
                .findFirst()
                .orElse(from);
        long incarnation = from.incarnation;
        boolean repeated = send.message() instanceof PeerMessage.RolloutEvidence && random.nextInt(5) == 0;
        for (int delivery = 0; delivery < (repeated ? 2 : 1); delivery++) {
            schedule(1 + random.nextInt(delivery == 0 ? 40 : 4_000), () -> {
                if (to.up && to != from && !from.cutOff && !to.cutOff) {
                    run(to, new PeerEvent.PeerMessageReceived(from.host, incarnation, send.message()));
                }
            });
        }
    }

    private void started(Node node, ForwardEffect.StartForward start) {
        boolean target = start.server().value().startsWith("new-");
        (target ? sentToTarget : sentToOld).add(nowMillis);
        if (target && node.cutOff) {
            sentByCutOff.add(node.host + " at " + nowMillis);
        }
        running.put(start.ticket(), new Running(node, node.incarnation, start));
        boolean failed = random.nextDouble() < (target ? targetFailures : 0.002);
        schedule(20 + random.nextInt(60), () -> {
            Running present = running.get(start.ticket());
            if (present != null && present.start().attempt() == start.attempt()) {
                if (!failed && present.node().up && present.node().incarnation == present.incarnation()) {
                    run(
                            present.node(),
                            new ForwardEvent.ForwardBegan(start.ticket(), start.attempt(), Optional.empty()));
                }
                end(start.ticket(), failed ? new ForwardOutcome.Failed(500) : new ForwardOutcome.Completed(false));
            }
        });
    }

    private void end(long ticket, ForwardOutcome outcome) {
        Running ended = running.remove(ticket);
        if (ended != null && ended.node().up && ended.node().incarnation == ended.incarnation()) {
            run(
                    ended.node(),
                    new ForwardEvent.ForwardEnded(ticket, ended.start().attempt(), outcome, Optional.empty()));
        }
    }

    /** Returns the phase in the log; empty without a rollout. */
    Optional<RolloutPhase> phase() {
        Node reader = new Node("reader", true);
        log.forEach(command -> reader.board().configuration().state().apply(command));
        return reader.board().configuration().state().rollout(SERVICE).map(Rollout::phase);
    }

    long nowMillis() {
        return nowMillis;
    }

    long requests() {
        return requests;
    }

    /** Returns the requests sent to the target since a time. */
    long sentToTargetSince(long millis) {
        return sentToTarget.stream().filter(sent -> sent >= millis).count();
    }

    /** Returns the requests sent to the old version since a time. */
    long sentToOldSince(long millis) {
        return sentToOld.stream().filter(sent -> sent >= millis).count();
    }

    List<String> sentByCutOff() {
        return sentByCutOff;
    }

    int refusals(ErrorKind kind) {
        return refusals.getOrDefault(kind, 0);
    }

    List<LogEffect> lines(String event) {
        return lines.stream().filter(line -> line.event().equals(event)).toList();
    }
}
