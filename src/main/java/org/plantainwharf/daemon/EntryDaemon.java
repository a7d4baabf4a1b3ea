package org.plantainwharf.daemon;

import java.security.SecureRandom;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import org.eclipse.jetty.client.HttpClient;
import org.plantainwharf.backend.ForwardClient;
import org.plantainwharf.backend.HttpClients;
import org.plantainwharf.board.Board;
import org.plantainwharf.codec.PeerMessageCodec;
import org.plantainwharf.consensus.ConsensusController;
import org.plantainwharf.consensus.RecoveredGroup;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.ControlThread;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.EffectExecutor;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.document.DocumentCodec;
import org.plantainwharf.document.DocumentController;
import org.plantainwharf.drain.DrainController;
import org.plantainwharf.duty.DemandController;
import org.plantainwharf.duty.UsageController;
import org.plantainwharf.effect.DocumentEffect;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.forward.ForwardController;
import org.plantainwharf.front.ForwardingFrontend;
import org.plantainwharf.front.ListenAddresses;
import org.plantainwharf.front.MetricsFrontend;
import org.plantainwharf.handover.ReachController;
import org.plantainwharf.http.ForwardDialect;
import org.plantainwharf.keptpart.KeptPartController;
import org.plantainwharf.limit.AllowanceController;
import org.plantainwharf.log.LineLog;
import org.plantainwharf.membership.DiscoveryController;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.metric.Counters;
import org.plantainwharf.metric.Telemetry;
import org.plantainwharf.observation.ObservationController;
import org.plantainwharf.origin.OriginLookupController;
import org.plantainwharf.origin.OriginRecordController;
import org.plantainwharf.quarantine.ForwardQuarantineController;
import org.plantainwharf.registry.RegistryController;
import org.plantainwharf.rollout.RolloutEvidenceController;
import org.plantainwharf.rollout.RolloutLogController;
import org.plantainwharf.room.RoomController;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.transport.PeerNetwork;
import org.plantainwharf.transport.PeerPolicy;

/** A daemon that forwards requests to backend servers and follows the control group without a vote. Thread-safe. */
public final class EntryDaemon extends RunningDaemon {
    /** Threads of the HTTP client: on one core a single one runs at a time, while others wait for a caller. */
    private static final int CLIENT_THREADS = 8;

    /** The platform's backend servers close idle connections after some seconds; the client closes them first. */
    private static final long SERVER_IDLE_TIMEOUT_MILLIS = 4_000;

    private final RoleSettings role;
    private final ControlThread control;
    private final ForwardingFrontend frontend;
    private final HttpClient serverClient;
    private final PeerNetwork peers;
    private final ExecutorService trafficExecutor;
    private final MetricsFrontend metricsFrontend;
    private final LineLog log;

    private EntryDaemon(RoleSettings role, ForwardDialect dialect, DocumentCodec codec, LineLog log) {
        this.role = role;
        this.log = log;
        Settings settings = role.settings();
        Clock clock = Clock.system();
        SecureRandom random = new SecureRandom();
        long incarnation = random.nextLong(1, Long.MAX_VALUE);
        MetricRegistry metrics = new MetricRegistry();
        Telemetry telemetry = new Telemetry(metrics, log);
        this.metricsFrontend = MetricsFrontend.create(role.metricsAddress(), settings.bounds(), telemetry);
        Board board = Board.create(settings, incarnation, random.nextLong());
        ConsensusController consensus = ConsensusController.createForDiscoveredHosts(
                settings,
                List.copyOf(role.seeds().keySet()),
                0,
                RecoveredGroup.empty(),
                board.configuration().state(),
                new SplittableRandom(random.nextLong()),
                clock.nowNanos());
        List<Controller> controllers = List.of(
                MembershipController.create(),
                DiscoveryController.create(role.seeds(), Optional.empty(), settings.host()),
                RegistryController.learning(),
                consensus,
                DocumentController.learning(codec),
                RolloutLogController.create(),
                DrainController.create(),
                AllowanceController.create(),
                UsageController.create(role.usageWindowMillis(), role.usageReportDeadlineMillis()),
                ForwardQuarantineController.create(),
                OriginLookupController.create(),
                RolloutEvidenceController.create(role.rolloutBounds()),
                RoomController.ofSettings(role.sharesRoom()),
                ObservationController.ofEntryDaemon(),
                KeptPartController.create(),
                ReachController.create(settings.callerAddress()),
                ForwardController.create(role.forwardLimits()),
                OriginRecordController.create(),
                DemandController.create());
        AtomicReference<EffectExecutor> dispatcher = new AtomicReference<>(effect -> {});
        this.control = ControlThread.create(
                ControlCycle.create(board, controllers),
                clock,
                effect -> Objects.requireNonNull(dispatcher.get()).execute(effect),
                settings.bounds().eventQueueCapacity());
        this.trafficExecutor = Executors.newSingleThreadExecutor(task -> new Thread(task, "traffic"));
        this.frontend = ForwardingFrontend.create(
                dialect,
                new ListenAddresses(settings.callerAddress(), role.readyAddress(), role.readyPath(), settings.bounds()),
                clock,
                control::view,
                control,
                telemetry,
                trafficExecutor);
        this.serverClient = HttpClients.start("servers", CLIENT_THREADS, SERVER_IDLE_TIMEOUT_MILLIS);
        ForwardClient forwardClient =
                ForwardClient.create(serverClient, dialect, clock, frontend::call, control, trafficExecutor);
        this.peers = PeerNetwork.create(
                settings,
                new PeerPolicy.Discovered(role.seeds()),
                incarnation,
                PeerMessageCodec.create(),
                control,
                metrics);
        dispatcher.set(RoleEffectDispatcher.create(new RoleEffectDispatcher.EffectHandlers(
                peers,
                log,
                Counters.create(metrics),
                effect -> executeForwardEffect(effect, forwardClient),
                effect -> logMisdirected("registry"),
                this::executeDocumentEffect,
                effect -> logMisdirected("rollout"),
                effect -> logMisdirected("duty"),
                effect -> logMisdirected("storage"),
                this::markDrained)));
    }

    /** Starts an entry daemon, or returns why it cannot start, such as an address in use. */
    public static Either<Failure, EntryDaemon> start(
            RoleSettings role, ForwardDialect dialect, DocumentCodec codec, LineLog log) {
        EntryDaemon daemon = new EntryDaemon(role, dialect, codec, log);
        try {
            daemon.control.start();
            daemon.frontend.start();
            daemon.metricsFrontend.start();
        } catch (IllegalStateException e) {
            daemon.close();
            return Either.left(Failure.of(ErrorKind.SETTINGS_INVALID, String.valueOf(e.getMessage())));
        }
        Either<Failure, Integer> listening = daemon.peers.start();
        if (listening.isLeft()) {
            daemon.close();
            return Either.left(listening.getLeft());
        }
        log.write("daemon_started", "role", "entry", "callers", daemon.frontend.port());
        return Either.right(daemon);
    }

    private void executeForwardEffect(ForwardEffect effect, ForwardClient forwardClient) {
        switch (effect) {
            case ForwardEffect.StartForward start -> forwardClient.start(start);
            case ForwardEffect.CancelForward cancel -> forwardClient.cancel(cancel.ticket());
            case ForwardEffect.ProbeServer probe -> forwardClient.probe(probe);
            case ForwardEffect.CheckConnection check -> forwardClient.check(check);
            case ForwardEffect.HandOver handOver -> forwardClient.handOver(handOver);
            case ForwardEffect.RefuseForward refuse -> frontend.execute(refuse);
            case ForwardEffect.PassFailure pass -> frontend.execute(pass);
            case ForwardEffect.BreakForward broken -> frontend.execute(broken);
        }
    }

    private void executeDocumentEffect(DocumentEffect effect) {
        if (effect instanceof DocumentEffect.ApplyCallerBounds apply) {
            frontend.apply(apply.bounds());
        } else {
            logMisdirected("document");
        }
    }

    private void logMisdirected(String family) {
        log.write("effect_misdirected", "family", family);
    }

    /** Returns the port for callers. */
    public int callerPort() {
        return frontend.port();
    }

    @Override
    EventSink events() {
        return control;
    }

    @Override
    void closeComponents() throws InterruptedException {
        try {
            control.stop();
            trafficExecutor.shutdown();
            // Waits for answers that are decided but not yet written.
            boolean answersWritten = trafficExecutor.awaitTermination(1, TimeUnit.SECONDS);
            log.write("daemon_stopped", "role", "entry", "answers_written", answersWritten);
            frontend.stop();
            metricsFrontend.stop();
            serverClient.stop();
            peers.close();
            log.close();
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            log.write("daemon_stop_failed", "problem", String.valueOf(e));
        }
    }
}
