package org.plantainwharf.record;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

import io.vavr.control.Option;
import org.plantainwharf.admission.AdmissionController;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.Content;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.AttemptProblem;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.StateMachine;
import org.plantainwharf.retry.AttemptController;
import org.plantainwharf.routing.RoutingController;
import org.plantainwharf.server.Announcement;
import org.plantainwharf.server.LoadReport;
import org.plantainwharf.server.ServerEntry;
import org.plantainwharf.server.ServerKind;
import org.plantainwharf.testing.Samples;

/**
 * Simulates orders on several hosts with the production controllers and a virtual clock. A seeded schedule loses, delays
 * and duplicates proposals, crashes hosts, disconnects them from the majority and fails attempts. The simulation records
 * what ran and what callers were told. Not thread-safe.
 */
final class OrderSimulation {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int HOSTS = 4;
    private static final int KEYS = 12;
    private static final int CALLS_PER_KEY = 5;
    private static final long FAULT_PHASE_MILLIS = 30_000;
    private static final long END_MILLIS = 90_000;
    private static final long PROPOSAL_TIMEOUT_MILLIS = 2_000;

    private final SplittableRandom random;
    private final StateMachine state;
    private final List<Controller> recordingControllers;
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMillis).thenComparingLong(Step::number));
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, Integer> runsByKey = new TreeMap<>();
    private final Map<String, Integer> runsByRequest = new HashMap<>();
    private final List<String> reportedNotRun = new ArrayList<>();
    private final Map<String, Set<String>> answersByKey = new TreeMap<>();
    private final Map<String, String> keyOfRequest = new HashMap<>();
    private final Map<String, Boolean> settledByKey = new TreeMap<>();
    private final List<String> history = new ArrayList<>();
    private long stepNumber;
    private long nowMillis;
    private int requests;

    private record Step(long atMillis, long number, Runnable action) {}

    private static final class Host {
        private final int number;
        private long incarnation;
        private ControlCycle cycle;
        private boolean reachesMajority = true;

        private Host(int number, ControlCycle cycle) {
            this.number = number;
            this.incarnation = 1;
            this.cycle = cycle;
        }
    }

    private OrderSimulation(long seed, StateMachine state, List<Controller> recordingControllers) {
        this.random = new SplittableRandom(seed);
        this.state = state;
        this.recordingControllers = recordingControllers;
        for (int number = 0; number < HOSTS; number++) {
            hosts.add(new Host(number, newCycle(number, 1)));
        }
    }

    /** Runs one schedule to its end with the production state and recording controller. */
    static OrderSimulation run(long seed) {
        return run(seed, RecordState.create(), List.of(CallRecordingController.create()));
    }

    /** Runs one schedule to its end, with a state and recording controllers that a test may replace by faulty ones. */
    static OrderSimulation run(long seed, StateMachine state, List<Controller> recordingControllers) {
        OrderSimulation simulation = new OrderSimulation(seed, state, recordingControllers);
        simulation.start();
        while (!simulation.steps.isEmpty() && simulation.steps.peek().atMillis() <= END_MILLIS) {
            Step step = simulation.steps.remove();
            simulation.nowMillis = step.atMillis();
            step.action().run();
        }
        return simulation;
    }

    /** Returns the violated guarantees, or an empty list. */
    List<String> violations() {
        List<String> violations = new ArrayList<>();
        runsByKey.forEach((key, runs) -> {
            if (runs > 1) {
                violations.add("key " + key + " ran " + runs + " times");
            }
        });
        for (String request : reportedNotRun) {
            if (runsByRequest.getOrDefault(request, 0) > 0) {
                violations.add("request " + request + " ran although its caller was told that it did not");
            }
        }
        answersByKey.forEach((key, answers) -> {
            if (answers.size() > 1) {
                violations.add("key " + key + " got different answers: " + answers);
            }
            if (runsByKey.getOrDefault(key, 0) == 0) {
                violations.add("key " + key + " was answered but never ran");
            }
        });
        settledByKey.forEach((key, settled) -> {
            if (!settled) {
                violations.add("key " + key + " got no final answer after the faults ended");
            }
        });
        return violations;
    }

    /** Returns the number of keys that ran, so that a test can check that the schedule ran any orders at all. */
    int keysRun() {
        return runsByKey.size();
    }

    private void start() {
        for (Host host : hosts) {
            scheduleTicks(host, 50);
        }
        for (int key = 0; key < KEYS; key++) {
            String name = "key" + key;
            for (int call = 0; call < CALLS_PER_KEY; call++) {
                schedule(random.nextLong(FAULT_PHASE_MILLIS), () -> send(name));
            }
            settledByKey.put(name, false);
            schedule(FAULT_PHASE_MILLIS + 15_000 + random.nextLong(1_000), () -> sendUntilSettled(name));
        }
        for (int fault = 0; fault < 6; fault++) {
            schedule(random.nextLong(FAULT_PHASE_MILLIS), () -> crash(hosts.get(random.nextInt(HOSTS))));
            schedule(
                    random.nextLong(FAULT_PHASE_MILLIS),
                    () -> disconnectFromMajority(hosts.get(random.nextInt(HOSTS))));
        }
    }

    private void scheduleTicks(Host host, long periodMillis) {
        schedule(nowMillis + periodMillis, () -> {
            updateStatus(host);
            deliver(host, new TimerEvent.Tick());
            scheduleTicks(host, periodMillis);
        });
    }

    private void updateStatus(Host host) {
        if (host.reachesMajority) {
            host.cycle
                    .board()
                    .consensus()
                    .put(new GroupStatus(
                            1,
                            Optional.of(HostId.of("leader")),
                            false,
                            1,
                            0,
                            0,
                            0,
                            nowMillis * NANOS_PER_MILLI,
                            false));
        }
    }

    private ControlCycle newCycle(int number, long incarnation) {
        Board board = Samples.board("h" + number, incarnation);
        ServerEntry server = ServerEntry.create(new Announcement(
                ServerId.of("orders1"),
                1,
                1,
                "127.0.0.1:1",
                AvailabilityZone.of("a"),
                HostClass.of("reclaimable-small"),
                new ServerKind.PlainService(Set.of(Samples.ORDERS)),
                100,
                LoadReport.idle(),
                false));
        server.renew(server.announcement(), Long.MAX_VALUE / 2, 0);
        board.servers().put(server);
        List<Controller> controllers = new ArrayList<>();
        controllers.add(AdmissionController.create());
        controllers.addAll(recordingControllers);
        controllers.add(OrderController.create());
        controllers.add(AttemptController.create());
        controllers.add(RoutingController.create());
        controllers.add(replicatedLog(number));
        return ControlCycle.create(board, controllers);
    }

    private void send(String key) {
        Host host = hosts.get(random.nextInt(HOSTS));
        String request = "r" + requests++;
        keyOfRequest.put(request, key);
        Call call = Samples.order(request, key, "body of " + key, nowMillis * NANOS_PER_MILLI);
        deliver(host, new CallEvent.CallArrived(call));
    }

    /** Resends the order until its outcome is final: an answer, or the error that the outcome is unknown. */
    private void sendUntilSettled(String key) {
        if (!settledByKey.getOrDefault(key, false)) {
            send(key);
            schedule(nowMillis + 12_000, () -> sendUntilSettled(key));
        }
    }

    private CommandResult apply(Command command) {
        CommandResult result = state.apply(command);
        recordHistory(command + " -> " + result);
        return result;
    }

    private void recordHistory(String line) {
        history.add(nowMillis + " " + line);
    }

    /** Returns the history of a key, for the message of a failed test. */
    String history(String key) {
        List<String> requestsOfKey = keyOfRequest.entrySet().stream()
                .filter(entry -> entry.getValue().equals(key))
                .map(entry -> "request=" + entry.getKey() + ",")
                .toList();
        return history.stream()
                .filter(line -> line.contains("key=" + key + ",")
                        || line.contains("MarkOwnerLost")
                        || requestsOfKey.stream().anyMatch(line::contains))
                .collect(java.util.stream.Collectors.joining("\n"));
    }

    private void crash(Host host) {
        HostId owner = HostId.of("h" + host.number);
        long lost = host.incarnation;
        host.incarnation++;
        host.cycle = newCycle(host.number, host.incarnation);
        scheduleOwnerLoss(owner, lost, nowMillis + 500 + random.nextLong(10_000));
    }

    /**
     * Marks an owner as lost, as the leader does once it sees the new incarnation. Repeats this, since a delayed intent of
     * the lost incarnation may be applied after the first mark.
     */
    private void scheduleOwnerLoss(HostId owner, long incarnation, long atMillis) {
        schedule(atMillis, () -> {
            apply(new Command.MarkOwnerLost(owner, incarnation));
            scheduleOwnerLoss(owner, incarnation, atMillis + 10_000);
        });
    }

    private void disconnectFromMajority(Host host) {
        host.reachesMajority = false;
        schedule(nowMillis + random.nextLong(8_000), () -> host.reachesMajority = true);
    }

    private void deliver(Host host, Event event) {
        long incarnation = host.incarnation;
        for (Effect effect : host.cycle.run(event, nowMillis * NANOS_PER_MILLI, nowMillis)) {
            execute(host, incarnation, effect);
        }
    }

    private void deliverLater(Host host, long incarnation, long delayMillis, Event event) {
        schedule(nowMillis + delayMillis, () -> {
            if (host.incarnation == incarnation) {
                deliver(host, event);
            }
        });
    }

    private void execute(Host host, long incarnation, Effect effect) {
        switch (effect) {
            case CallEffect.AnswerCall answer -> {
                String key = keyOfRequest.get(answer.request().value());
                String text = new String(answer.answer().bytes(), StandardCharsets.UTF_8);
                answersByKey
                        .computeIfAbsent(key, name -> new java.util.TreeSet<>())
                        .add(text);
                settledByKey.put(key, true);
            }
            case CallEffect.FailCall failed -> {
                recordHistory("told " + failed);
                if (failed.failure().executionStatus() == ExecutionStatus.NO) {
                    reportedNotRun.add(failed.request().value());
                }
                if (failed.failure().kind() == ErrorKind.OUTCOME_UNKNOWN) {
                    settledByKey.put(keyOfRequest.get(failed.request().value()), true);
                }
            }
            case AttemptEffect.StartAttempt start -> runAttempt(host, incarnation, start);
            default -> {}
        }
    }

    /** Returns a stand-in for the replicated log that may lose, delay or duplicate each proposal. */
    private Controller replicatedLog(int hostNumber) {
        return (event, board, nowNanos, effects) -> {
            if (event instanceof ReplicationEvent.ProposalRequested requested) {
                Host host = hosts.get(hostNumber);
                propose(host, host.incarnation, requested);
            }
        };
    }

    private void propose(Host host, long incarnation, ReplicationEvent.ProposalRequested requested) {
        boolean faults = nowMillis < FAULT_PHASE_MILLIS;
        boolean lost = faults && (!host.reachesMajority || random.nextInt(10) == 0);
        boolean answerLost = faults && random.nextInt(8) == 0;
        if (!lost) {
            long delay = 1 + random.nextLong(faults ? 3_000 : 20);
            schedule(nowMillis + delay, () -> {
                CommandResult result = apply(requested.command());
                if (!answerLost && host.incarnation == incarnation && delay < PROPOSAL_TIMEOUT_MILLIS) {
                    deliver(host, new ReplicationEvent.ProposalDecided(requested.proposalId(), result));
                }
            });
            if (faults && random.nextInt(4) == 0) {
                schedule(nowMillis + delay + random.nextLong(10_000), () -> apply(requested.command()));
            }
            if (!answerLost && delay < PROPOSAL_TIMEOUT_MILLIS) {
                return;
            }
        }
        deliverLater(
                host,
                incarnation,
                PROPOSAL_TIMEOUT_MILLIS,
                new ReplicationEvent.ProposalFailed(requested.proposalId(), ErrorKind.NO_QUORUM));
    }

    private void runAttempt(Host host, long incarnation, AttemptEffect.StartAttempt start) {
        CallKind.Order order = (CallKind.Order) start.call().kind();
        String key = order.key().value();
        String request = start.call().id().value();
        int fault = nowMillis < FAULT_PHASE_MILLIS ? random.nextInt(10) : 9;
        switch (fault) {
            case 0 -> fail(host, incarnation, start, new AttemptProblem.ConnectFailed());
            case 1 -> fail(host, incarnation, start, new AttemptProblem.RefusedBeforeRunning(false));
            case 2 -> fail(host, incarnation, start, new AttemptProblem.ConnectionLost());
            default -> {
                long delay = 1 + random.nextLong(2_000);
                boolean answerLost = fault <= 4;
                schedule(nowMillis + delay, () -> {
                    int run = runsByKey.merge(key, 1, Integer::sum);
                    runsByRequest.merge(request, 1, Integer::sum);
                    if (answerLost) {
                        fail(host, incarnation, start, new AttemptProblem.ConnectionSilent());
                    } else {
                        Content answer =
                                Content.of("text/plain", (key + " run " + run).getBytes(StandardCharsets.UTF_8));
                        deliverLater(
                                host,
                                incarnation,
                                random.nextLong(100),
                                new AttemptEvent.AttemptCompleted(start.attempt(), 200, Option.of(answer), 0));
                    }
                });
            }
        }
    }

    private void fail(Host host, long incarnation, AttemptEffect.StartAttempt start, AttemptProblem problem) {
        deliverLater(
                host,
                incarnation,
                1 + random.nextLong(100),
                new AttemptEvent.AttemptFailed(start.attempt(), problem, 0));
    }

    private void schedule(long atMillis, Runnable action) {
        steps.add(new Step(atMillis, stepNumber++, action));
    }
}
