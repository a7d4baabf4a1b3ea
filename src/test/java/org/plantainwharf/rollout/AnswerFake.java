package org.plantainwharf.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.message.PeerMessage;

/**
 * Answers of servers of two versions to requests of several daemons on a virtual clock, with the decisions of the product
 * on what is sent where and what becomes of the rollout. Reports and the log arrive late. Used by one thread.
 */
final class AnswerFake {
    static final ServiceName SERVICE = ServiceName.of("engines");
    static final ServerVersion TARGET = ServerVersion.of("2.0");
    static final ServerVersion OLD = ServerVersion.of("1.9");

    private static final RouteName[] ROUTES = {RouteName.of("review"), RouteName.of("stock"), RouteName.of("rare")};
    private static final double[] ROUTE_WEIGHTS = {0.55, 0.35, 0.10};
    private static final double[] BASE_MILLIS = {180, 40, 90};
    private static final long WARM_MILLIS = 1_000;

    private final Plan plan;
    private final Random random;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Task::atMillis).thenComparingLong(Task::order));
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final List<String> steps = new ArrayList<>();
    private Rollout rollout;
    private WatchedRollout watched;
    private boolean leaderless;
    private double nowMillis;
    private long order;
    private long ticket;

    private long requests;
    private long requestsUntilEnd;
    private long targetUntilEnd;
    private long badAnswers;
    private double fiftiethBadMillis = Double.MAX_VALUE;
    private double lastSentToTargetMillis = -1;
    private double verdictMillis = Double.MAX_VALUE;
    private long runningAtOldAtVerdict;
    private long sentToOldAfterVerdict;

    private record Task(double atMillis, long order, Runnable action) {}

    /** How a server answers. Immutable. */
    record Answer(boolean failed, boolean connectionLost, double factor) {
        static Answer good() {
            return new Answer(false, false, 1);
        }
    }

    /** What the servers of the target do. */
    interface Fault {
        /**
         * Returns how a server answers.
         *
         * @param load requests at the server relative to its slots
         */
        Answer answer(Server server, RouteName route, double load, double nowMillis, Random random);
    }

    /** The size and the traffic of a fleet. Immutable. */
    record Plan(
            int daemons,
            int oldServers,
            int newServers,
            double requestsPerSecond,
            long durationMillis,
            double targetReadyMillis,
            Fault old,
            Fault target) {
        static Plan ordinary(long durationMillis, Fault target) {
            return new Plan(8, 8, 8, 120, durationMillis, 4_000, GOOD, target);
        }

        Plan withTraffic(double newRequestsPerSecond) {
            return new Plan(
                    daemons,
                    oldServers,
                    newServers,
                    newRequestsPerSecond,
                    durationMillis,
                    targetReadyMillis,
                    old,
                    target);
        }

        Plan withServers(int newOld, int newTarget) {
            return new Plan(
                    daemons, newOld, newTarget, requestsPerSecond, durationMillis, targetReadyMillis, old, target);
        }

        Plan withDaemons(int newDaemons) {
            return new Plan(
                    newDaemons,
                    oldServers,
                    newServers,
                    requestsPerSecond,
                    durationMillis,
                    targetReadyMillis,
                    old,
                    target);
        }

        Plan withOld(Fault newOld) {
            return new Plan(
                    daemons,
                    oldServers,
                    newServers,
                    requestsPerSecond,
                    durationMillis,
                    targetReadyMillis,
                    newOld,
                    target);
        }
    }

    static final Fault GOOD = (server, route, load, now, random) ->
            random.nextDouble() < 0.003 ? new Answer(true, false, 1) : Answer.good();

    /** A server and its present start. */
    static final class Server {
        private final ServerId id;
        private final boolean target;
        private final int index;
        private int running;
        private int start = 1;
        private double downUntilMillis;
        private final List<Attempt> attempts = new ArrayList<>();

        private Server(boolean target, int index) {
            this.id = ServerId.of((target ? "new-" : "old-") + index);
            this.target = target;
            this.index = index;
        }

        int index() {
            return index;
        }
    }

    private static final class Attempt {
        private final Daemon daemon;
        private final Server server;
        private final RouteName route;
        private final double sentMillis;
        private boolean ended;

        private Attempt(Daemon daemon, Server server, RouteName route, double sentMillis) {
            this.daemon = daemon;
            this.server = server;
            this.route = route;
            this.sentMillis = sentMillis;
        }
    }

    private static final class Daemon {
        private final HostId host;
        private final double weight;
        private long incarnation = 1;
        private Optional<VersionShare> share = Optional.empty();
        private long sequence;
        private final Map<ServerId, Double> avoidedUntil = new HashMap<>();
        private final Map<ServerId, Integer> failuresInARow = new HashMap<>();
        private int runningAtOld;

        private Daemon(int index, double weight) {
            this.host = HostId.of("edge-" + index);
            this.weight = weight;
        }
    }

    private AnswerFake(Plan plan, long seed) {
        this.plan = plan;
        this.random = new Random(seed);
        for (int index = 0; index < plan.daemons(); index++) {
            daemons.add(new Daemon(index, 0.3 + random.nextDouble() * random.nextDouble() * 3));
        }
        for (int index = 0; index < plan.oldServers(); index++) {
            servers.add(new Server(false, index));
        }
        for (int index = 0; index < plan.newServers(); index++) {
            servers.add(new Server(true, index));
        }
        rollout = new Rollout(SERVICE, 1, TARGET, plan.durationMillis(), 0, new RolloutPhase.Observing());
        watched = WatchedRollout.create(rollout, 0, 0);
        daemons.forEach(daemon -> adopt(daemon, rollout));
        schedule(0, this::arrive);
        schedule(100, this::decide);
        daemons.forEach(daemon -> schedule(random.nextInt(250), () -> report(daemon)));
    }

    /** Returns a fake whose rollout begins at time 0. */
    static AnswerFake create(Plan plan, long seed) {
        return new AnswerFake(plan, seed);
    }

    private void schedule(double delayMillis, Runnable action) {
        order++;
        tasks.add(new Task(nowMillis + delayMillis, order, action));
    }

    private long nanos() {
        return (long) (nowMillis * 1e6);
    }

    /** Runs until a time. */
    AnswerFake run(double untilMillis) {
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= untilMillis) {
            Task task = tasks.remove();
            nowMillis = task.atMillis();
            task.action().run();
        }
        nowMillis = untilMillis;
        return this;
    }

    /** Runs something at a time. */
    AnswerFake at(double atMillis, Runnable action) {
        schedule(atMillis - nowMillis, action);
        return this;
    }

    /** Ends servers in a zone's worth; they are back after a time. */
    void crash(double part) {
        for (Server server : servers) {
            if (random.nextDouble() < part && ready(server)) {
                server.start++;
                server.downUntilMillis = nowMillis + 2_000 + random.nextInt(2_000);
                for (Attempt attempt : List.copyOf(server.attempts)) {
                    end(attempt, new EvidenceCounts.Ending.ConnectionLost(), true);
                }
            }
        }
    }

    /** Restarts a daemon; it learns of the rollout a moment later. */
    void restart(int index) {
        Daemon daemon = daemons.get(index);
        daemon.incarnation++;
        daemon.share = Optional.empty();
        daemon.avoidedUntil.clear();
        daemon.runningAtOld = 0;
        for (Server server : servers) {
            for (Attempt attempt : List.copyOf(server.attempts)) {
                if (attempt.daemon == daemon) {
                    attempt.ended = true;
                    server.running--;
                    server.attempts.remove(attempt);
                }
            }
        }
        schedule(400 + random.nextInt(400), () -> adopt(daemon, rollout));
    }

    /** Replaces the leader by one that has no evidence yet and decides nothing for a time. */
    void loseLeader(double downMillis) {
        leaderless = true;
        schedule(downMillis, () -> {
            leaderless = false;
            watched = WatchedRollout.create(rollout, (long) nowMillis, nanos());
        });
    }

    private boolean ready(Server server) {
        return nowMillis >= server.downUntilMillis
                && (!server.target || nowMillis >= plan.targetReadyMillis() + 100 * server.index)
                && (server.target || !(rollout.phase() instanceof RolloutPhase.Completed));
    }

    private int count(boolean target) {
        return (int) servers.stream()
                .filter(server -> server.target == target && ready(server))
                .count();
    }

    private void adopt(Daemon daemon, Rollout newer) {
        if (daemon.share.isEmpty()) {
            daemon.share =
                    Optional.of(VersionShare.create(newer, RolloutBounds.defaults(), random.nextDouble(), nanos()));
        } else {
            daemon.share.get().setRollout(newer, nanos());
        }
    }

    private void arrive() {
        schedule(-Math.log(1 - random.nextDouble()) * 1_000 / plan.requestsPerSecond(), this::arrive);
        requests++;
        if (nowMillis <= plan.durationMillis()) {
            requestsUntilEnd++;
        }
        ticket++;
        send(daemon(), route(), ticket, 1);
    }

    private Daemon daemon() {
        double all = daemons.stream().mapToDouble(daemon -> daemon.weight).sum();
        double draw = random.nextDouble() * all;
        for (Daemon daemon : daemons) {
            draw -= daemon.weight;
            if (draw < 0) {
                return daemon;
            }
        }
        return daemons.getLast();
    }

    private RouteName route() {
        double draw = random.nextDouble();
        for (int index = 0; index < ROUTES.length; index++) {
            draw -= ROUTE_WEIGHTS[index];
            if (draw < 0) {
                return ROUTES[index];
            }
        }
        return ROUTES[0];
    }

    private void send(Daemon daemon, RouteName route, long number, int attempt) {
        if (daemon.share.isEmpty()) {
            return;
        }
        VersionShare share = daemon.share.get();
        share.setReadyServers(count(true), count(false));
        VersionShare.Plan chosen =
                share.plan(new VersionShare.Attempt(route, Optional.empty(), true, 1.0 / daemons.size(), nanos()));
        Optional<Server> server =
                switch (chosen) {
                    case VersionShare.Plan.Nowhere nowhere -> Optional.empty();
                    case VersionShare.Plan.Anywhere anywhere ->
                        best(daemon, true).or(() -> best(daemon, false));
                    case VersionShare.Plan.Only only -> best(daemon, only.side() == VersionShare.Side.TARGET);
                    case VersionShare.Plan.Preferred preferred ->
                        best(daemon, preferred.side() == VersionShare.Side.TARGET)
                                .or(() -> best(daemon, preferred.side() != VersionShare.Side.TARGET));
                    case VersionShare.Plan.Shared shared ->
                        bestInShare(daemon, share, shared.servers(), number).or(() -> best(daemon, false));
                };
        server.ifPresent(to -> sendTo(daemon, share, to, route, number, attempt));
    }

    private List<Server> usable(Daemon daemon, boolean target) {
        List<Server> ready = servers.stream()
                .filter(server -> server.target == target && ready(server))
                .toList();
        List<Server> healthy = ready.stream()
                .filter(server -> daemon.avoidedUntil.getOrDefault(server.id, 0.0) <= nowMillis)
                .toList();
        return healthy.isEmpty() ? ready : healthy;
    }

    private static Optional<Server> leastLoaded(List<Server> among) {
        return among.stream().min(Comparator.comparingInt(server -> server.running));
    }

    private Optional<Server> best(Daemon daemon, boolean target) {
        return leastLoaded(usable(daemon, target));
    }

    private Optional<Server> bestInShare(Daemon daemon, VersionShare share, int number, long requestTicket) {
        List<Server> targets = usable(daemon, true);
        List<ServerId> chosen =
                share.serversInShare(targets.stream().map(server -> server.id).toList(), number, requestTicket);
        return leastLoaded(
                targets.stream().filter(server -> chosen.contains(server.id)).toList());
    }

    private void sendTo(Daemon daemon, VersionShare share, Server server, RouteName route, long number, int tries) {
        share.recordSent(route, server.target ? TARGET : OLD, tries == 1);
        if (server.target) {
            lastSentToTargetMillis = nowMillis;
            if (nowMillis <= plan.durationMillis()) {
                targetUntilEnd++;
            }
        } else {
            daemon.runningAtOld++;
            if (nowMillis > verdictMillis + 1_000 && rollout.phase() instanceof RolloutPhase.Completed) {
                sentToOldAfterVerdict++;
            }
        }
        Attempt attempt = new Attempt(daemon, server, route, nowMillis);
        server.running++;
        server.attempts.add(attempt);
        double load = server.running / 6.0;
        Answer answer = (server.target ? plan.target() : plan.old()).answer(server, route, load, nowMillis, random);
        double millis = BASE_MILLIS[List.of(ROUTES).indexOf(route)]
                * Math.exp(0.35 * random.nextGaussian())
                * Math.max(1, load);
        boolean slow = answer.factor() >= 2.5;
        schedule(millis * answer.factor(), () -> {
            if (!attempt.ended) {
                boolean failed = answer.failed();
                EvidenceCounts.Ending ending = !failed
                        ? new EvidenceCounts.Ending.Answered(
                                0.4 * (nowMillis - attempt.sentMillis), nowMillis - attempt.sentMillis, true)
                        : answer.connectionLost()
                                ? new EvidenceCounts.Ending.ConnectionLost()
                                : new EvidenceCounts.Ending.Failed();
                end(attempt, ending, failed || slow);
                if (failed && tries < 3) {
                    send(daemon, route, number, tries + 1);
                }
            }
        });
    }

    private void end(Attempt attempt, EvidenceCounts.Ending ending, boolean bad) {
        attempt.ended = true;
        Server server = attempt.server;
        server.running--;
        server.attempts.remove(attempt);
        Daemon daemon = attempt.daemon;
        if (!server.target) {
            daemon.runningAtOld--;
        } else if (bad) {
            badAnswers++;
            if (badAnswers == 50) {
                fiftiethBadMillis = nowMillis;
            }
        }
        boolean failed = !(ending instanceof EvidenceCounts.Ending.Answered);
        int inARow = failed ? daemon.failuresInARow.merge(server.id, 1, Integer::sum) : 0;
        daemon.failuresInARow.put(server.id, inARow);
        if (inARow >= 2) {
            daemon.avoidedUntil.put(server.id, nowMillis + WARM_MILLIS);
        }
        daemon.share.ifPresent(share ->
                share.counts().record(attempt.route, server.target, server.id + "@" + server.start, ending, nanos()));
    }

    private void report(Daemon daemon) {
        schedule(250, () -> report(daemon));
        daemon.share.ifPresent(share -> {
            daemon.sequence++;
            PeerMessage.RolloutEvidence evidence = new PeerMessage.RolloutEvidence(
                    SERVICE,
                    1,
                    daemon.sequence,
                    share.rollout().phase().order(),
                    share.requests(),
                    share.sentToTarget(),
                    share.sentToOthers(),
                    daemon.runningAtOld,
                    share.counts().evidence());
            long incarnation = daemon.incarnation;
            int deliveries = random.nextInt(20) == 0 ? 2 : 1;
            for (int delivery = 0; delivery < deliveries; delivery++) {
                schedule(5 + random.nextInt(delivery == 0 ? 60 : 2_000), () -> watched.evidence()
                        .add(daemon.host, incarnation, evidence));
            }
        });
    }

    private void decide() {
        schedule(100, this::decide);
        if (leaderless || rollout.phase().ended()) {
            return;
        }
        boolean idle = daemons.stream().allMatch(daemon -> {
            PeerMessage.RolloutEvidence evidence = watched.evidence().of(daemon.host, daemon.incarnation);
            return evidence != null
                    && evidence.phaseOrder() >= new RolloutPhase.Retiring().order()
                    && evidence.runningAtOthers() == 0;
        });
        RolloutVerdict.Decision decision = RolloutVerdict.decide(watched.situation(
                RolloutBounds.defaults(),
                count(true),
                count(false),
                idle,
                watched.evidence().hosts().size() == daemons.size(),
                nanos()));
        switch (decision) {
            case RolloutVerdict.Decision.Hold hold -> {
                if (watched.isNewReason(hold.reason())) {
                    steps.add((long) nowMillis + " held: " + hold.reason());
                }
            }
            case RolloutVerdict.Decision.Advance advance -> commit(advance.phase(), advance.reason());
            case RolloutVerdict.Decision.Finish finish -> commit(finish.verdict(), finish.reason());
        }
    }

    private void commit(RolloutPhase phase, String reason) {
        rollout = rollout.withPhase(phase);
        watched.update(rollout, nanos());
        steps.add((long) nowMillis + " " + phase.describe() + ": " + reason);
        if (phase.ended()) {
            verdictMillis = nowMillis;
            runningAtOldAtVerdict =
                    daemons.stream().mapToLong(daemon -> daemon.runningAtOld).sum();
        }
        Rollout committed = rollout;
        daemons.forEach(daemon -> schedule(20 + random.nextInt(130), () -> {
            // The log keeps its order.
            if (daemon.share
                    .filter(share -> share.rollout().phase().mayBecome(committed.phase()))
                    .isPresent()) {
                adopt(daemon, committed);
            }
        }));
    }

    RolloutPhase phase() {
        return rollout.phase();
    }

    double verdictMillis() {
        return verdictMillis;
    }

    long requestsUntilEnd() {
        return requestsUntilEnd;
    }

    long targetUntilEnd() {
        return targetUntilEnd;
    }

    long badAnswers() {
        return badAnswers;
    }

    long runningAtOldAtVerdict() {
        return runningAtOldAtVerdict;
    }

    long sentToOldAfterVerdict() {
        return sentToOldAfterVerdict;
    }

    /** Returns by how much the requests at the target exceed the bound; at most 0 if it holds. */
    double beyondShare() {
        RolloutBounds bounds = RolloutBounds.defaults();
        return targetUntilEnd - bounds.exposureShare() * requestsUntilEnd - bounds.exposureSlack();
    }

    /** Returns the time from the 50th bad answer to the last request at the target; negative if there was no such answer. */
    double sentAfterFiftiethBadMillis() {
        return lastSentToTargetMillis - fiftiethBadMillis;
    }

    @Override
    public String toString() {
        return phase().describe() + " at " + (long) verdictMillis + ", target got " + targetUntilEnd + " of "
                + requestsUntilEnd + " requests, " + badAnswers + " bad; " + requests + " in all\n"
                + String.join("\n", steps);
    }
}
