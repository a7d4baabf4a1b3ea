package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Content;
import org.plantainwharf.consensus.LogCopy;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.Controller;
import org.plantainwharf.document.AccountRule;
import org.plantainwharf.document.CallerBounds;
import org.plantainwharf.document.DocumentController;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.origin.OriginAnswer;
import org.plantainwharf.origin.OriginRecordController;
import org.plantainwharf.registry.RegistryController;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.rollout.RolloutBounds;
import org.plantainwharf.rollout.RolloutEvidenceController;
import org.plantainwharf.rollout.RolloutPhase;
import org.plantainwharf.testing.Samples;

/** Runs the forward controller with a document, servers and a virtual clock. Used by one thread. */
final class ForwardHarness {
    static final String KEY = "key-of-acme";
    static final ServiceName SERVICE = ServiceName.of("desk");

    private final Board board = Board.create(Samples.settings("edge-1"), 1, 7);
    private final Map<String, Long> counts = new HashMap<>();
    private final ControlCycle cycle;
    private final ControlCycle.FailureListener failureListener;
    private final List<ForwardEvent.OriginRequested> originRequests = new ArrayList<>();
    private long nowNanos = TimeUnit.SECONDS.toNanos(100);
    private long sequence;
    private long tickets;

    ForwardHarness(List<RouteRule> routes, double tokensPerSecond) {
        this(routes, tokensPerSecond, controllers -> controllers, (controller, event, cause) -> {
            throw new AssertionError(controller + " failed at " + event, cause);
        });
    }

    /**
     * Creates a harness with other controllers.
     *
     * @param replacing receives the controllers of the harness and returns those to run
     */
    ForwardHarness(
            List<RouteRule> routes,
            double tokensPerSecond,
            UnaryOperator<List<Controller>> replacing,
            ControlCycle.FailureListener failureListener) {
        this.failureListener = failureListener;
        ServiceDocument document = new ServiceDocument(
                1,
                routes,
                Map.of(SERVICE, new ServiceRule(SERVICE, 100, Optional.empty(), Optional.empty())),
                CallerBounds.defaults(),
                List.of(new AccountRule(
                        AccountName.of("acme"),
                        Set.of(KEY),
                        OptionalLong.empty(),
                        true,
                        200,
                        tokensPerSecond,
                        tokensPerSecond)));
        this.cycle = ControlCycle.create(
                board,
                replacing.apply(List.of(
                        RegistryController.learning(),
                        DocumentController.create(content -> Either.right(document)),
                        RolloutEvidenceController.create(RolloutBounds.defaults()),
                        ForwardController.create(new ForwardLimits(0.5, 10, 8, 0, 0)),
                        OriginRecordController.create(),
                        (event, ownBoard, ownNanos, effects) -> {
                            if (event instanceof ForwardEvent.OriginRequested requested) {
                                originRequests.add(requested);
                            }
                        })));
        listVersion(ServerVersion.unstated());
    }

    /** Lists a version in the control log, so that its servers may begin streams. */
    void listVersion(ServerVersion version) {
        board.configuration().state().apply(new Command.ListServerVersion(SERVICE, version));
    }

    void retireVersion(ServerVersion version) {
        board.configuration().state().apply(new Command.RetireServerVersion(SERVICE, version));
    }

    /** Begins a rollout in the log. */
    void beginRollout(ServerVersion target) {
        followLog(new Command.BeginRollout(SERVICE, target, 12_000, 0));
    }

    /** Moves the first rollout on in the log. */
    void moveRollout(RolloutPhase phase) {
        followLog(
                phase.ended()
                        ? new Command.FinishRollout(SERVICE, 1, phase)
                        : new Command.AdvanceRollout(SERVICE, 1, phase));
    }

    private void followLog(Command command) {
        board.consensus().putCopy(0, new LogCopy.CompleteUntil(nowNanos));
        CommandResult result = board.configuration().state().apply(command);
        run(new ReplicationEvent.EntryApplied(0, 1, command, result));
        tick();
    }

    static RouteRule route(String prefix, Repeatability repeatability, int attempts, boolean resumable) {
        return new RouteRule(
                RouteName.of(prefix),
                "a.example",
                prefix,
                repeatability,
                5_000,
                300,
                0,
                List.of(new RouteRule.Share(SERVICE, 1)),
                attempts,
                false,
                resumable,
                0);
    }

    /** Commits the document and confirms that this daemon has applied everything that was committed until now. */
    void applyDocument() {
        board.consensus().putCopy(0, new LogCopy.CompleteUntil(nowNanos));
        Command command = new Command.ReplaceDocument(1, Content.of("application/json", new byte[] {1}));
        CommandResult result = board.configuration().state().apply(command);
        run(new ReplicationEvent.EntryApplied(0, 1, command, result));
    }

    void reportServer(String server, ServerPhase phase) {
        reportServer(server, 1, phase);
    }

    void reportServer(String server, long startEpochMillis, ServerPhase phase) {
        reportServer(server, startEpochMillis, phase, ServerVersion.unstated());
    }

    void reportServer(String server, long startEpochMillis, ServerPhase phase, ServerVersion version) {
        sequence++;
        ServerReport report = new ServerReport(
                ServerId.of(server),
                startEpochMillis,
                sequence,
                SERVICE,
                "10.0.0." + server.substring(2) + ":80",
                AvailabilityZone.of("zone-a"),
                6,
                phase,
                0,
                false,
                OptionalLong.empty(),
                version);
        run(new PeerEvent.PeerMessageReceived(HostId.of("core-1"), 1, new PeerMessage.ServerReports(List.of(report))));
    }

    List<ForwardEffect> run(Event event) {
        List<ForwardEffect> effects = new ArrayList<>();
        for (Effect effect : cycle.run(event, nowNanos, 0, failureListener)) {
            if (effect instanceof CountEffect count) {
                counts.merge(count.metric(), count.amount(), Long::sum);
            }
            if (effect instanceof ForwardEffect forward) {
                effects.add(forward);
            }
        }
        return effects;
    }

    /** Returns what a counter was raised by in all. */
    long count(String name) {
        return counts.getOrDefault(name, 0L);
    }

    long nowNanos() {
        return nowNanos;
    }

    Board board() {
        return board;
    }

    void advance(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    List<ForwardEffect> tick() {
        return run(new TimerEvent.Tick());
    }

    List<ForwardEffect> arrive(String path, Optional<String> key, long deadlineMillis) {
        tickets++;
        return run(new ForwardEvent.ForwardArrived(
                tickets,
                ForwardHead.of(
                        "id-" + tickets,
                        "a.example",
                        path,
                        key,
                        OptionalLong.of(deadlineMillis),
                        Optional.empty(),
                        Fingerprint.of("content-" + tickets)),
                nowNanos));
    }

    /** A caller takes up the stream that an earlier attempt of it began. */
    List<ForwardEffect> takeUp(String path, Optional<String> firstAttempt, long deadlineMillis) {
        tickets++;
        ForwardHead head = ForwardHead.of(
                "id-" + tickets,
                "a.example",
                path,
                Optional.of(KEY),
                OptionalLong.of(deadlineMillis),
                Optional.empty(),
                Fingerprint.of("content-" + tickets));
        return run(new ForwardEvent.ForwardArrived(
                tickets, head.takingUp(Optional.of(new ForwardHead.TakeUp(firstAttempt))), nowNanos));
    }

    /** Returns the newest question about the origin of a stream and removes it; empty if there is none. */
    Optional<ForwardEvent.OriginRequested> takeOriginRequest() {
        return originRequests.isEmpty() ? Optional.empty() : Optional.of(originRequests.removeLast());
    }

    List<ForwardEffect> decideOrigin(long ticket, OriginAnswer answer) {
        return run(new ForwardEvent.OriginDecided(ticket, answer));
    }

    ForwardEffect.StartForward arriveAndStart(String path) {
        List<ForwardEffect> effects = arrive(path, Optional.of(KEY), 3_000);
        return (ForwardEffect.StartForward) effects.getFirst();
    }

    List<ForwardEffect> endAttempt(ForwardEffect.StartForward start, ForwardOutcome outcome) {
        return run(new ForwardEvent.ForwardEnded(start.ticket(), start.attempt(), outcome, Optional.empty()));
    }

    List<ForwardEffect> startAnswer(ForwardEffect.StartForward start) {
        return run(new ForwardEvent.ForwardBegan(start.ticket(), start.attempt(), Optional.empty()));
    }

    /** Passes the first event of a stream on to the caller. */
    List<ForwardEffect> beginStream(ForwardEffect.StartForward start) {
        startAnswer(start);
        return run(new ForwardEvent.StreamBegan(start.ticket(), start.attempt()));
    }

    /** Returns the ticket of the request that arrives next. */
    long nextTicket() {
        return tickets + 1;
    }

    int liveCalls() {
        return board.forward().calls().size();
    }
}
