package org.plantainwharf.daemon;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import org.plantainwharf.admission.AdmissionController;
import org.plantainwharf.alarm.AlarmController;
import org.plantainwharf.backend.BackendClient;
import org.plantainwharf.board.Board;
import org.plantainwharf.capacity.CapacityController;
import org.plantainwharf.codec.PeerMessageCodec;
import org.plantainwharf.codec.ProtobufRecordCodec;
import org.plantainwharf.configuration.ConfigurationController;
import org.plantainwharf.consensus.ConsensusController;
import org.plantainwharf.consensus.ReplicaOptions;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.ControlThread;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.EffectExecutor;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.drain.DrainController;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.front.CallerFrontend;
import org.plantainwharf.front.OperatorFrontend;
import org.plantainwharf.limit.LimitController;
import org.plantainwharf.log.EventLog;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.metric.Counters;
import org.plantainwharf.quarantine.QuarantineController;
import org.plantainwharf.record.CallRecordingController;
import org.plantainwharf.record.OrderController;
import org.plantainwharf.record.OwnershipController;
import org.plantainwharf.record.WorkController;
import org.plantainwharf.retry.AttemptController;
import org.plantainwharf.routing.RoutingController;
import org.plantainwharf.server.ServerController;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.sheet.Sheet;
import org.plantainwharf.sheet.csv.SheetParser;
import org.plantainwharf.storage.StorageWriter;
import org.plantainwharf.transport.PeerNetwork;

/**
 * A daemon whose settings list all other daemons. Thread-safe.
 *
 * <p>Invariant: the control thread starts after every component that executes its effects was created, and stops before
 * they are closed.
 */
public final class Daemon extends RunningDaemon {
    private static final EventLog LOG = EventLog.of(FluentLogger.forEnclosingClass());

    /** Longest wait until answers that are already written have reached their callers. */
    private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(10);

    private static final long FLUSH_POLL_INTERVAL_MILLIS = 20;

    private final Settings settings;
    private final Components components;

    /** The threads and connections of a daemon. */
    private record Components(
            ControlThread control,
            CallerFrontend callers,
            OperatorFrontend operators,
            BackendClient backends,
            PeerNetwork peers,
            Optional<StorageWriter> storage) {}

    private Daemon(Settings settings, Components components, CountDownLatch drained) {
        super(drained);
        this.settings = settings;
        this.components = components;
    }

    /** Starts a daemon, or returns why it cannot start: a corrupt log, an unusable folder or an address in use. */
    public static Either<Failure, Daemon> start(Settings settings) {
        DeferredEventSink deferredEvents = DeferredEventSink.create();
        if (settings.dataFolder().isEmpty()) {
            return start(settings, deferredEvents, Optional.empty());
        }
        return StorageWriter.open(Path.of(settings.dataFolder().get()), ProtobufRecordCodec.create(), deferredEvents)
                .flatMap(writer -> start(settings, deferredEvents, Optional.of(writer)));
    }

    private static Either<Failure, Daemon> start(
            Settings settings, DeferredEventSink deferredEvents, Optional<StorageWriter> storage) {
        Clock clock = Clock.system();
        SecureRandom random = new SecureRandom();
        long incarnation = random.nextLong(1, Long.MAX_VALUE);
        MetricRegistry metrics = new MetricRegistry();
        Board board = Board.create(settings, incarnation, random.nextLong());
        ConsensusController consensus = ConsensusController.create(
                settings,
                storage.map(StorageWriter::diskIncarnation).orElse(0L),
                group -> storage.orElseThrow().recover(group),
                group -> group == 0
                        ? board.configuration().state()
                        : board.records().state(group),
                ReplicaOptions.defaults(),
                new SplittableRandom(random.nextLong()),
                clock.nowNanos());
        ControlCycle cycle = ControlCycle.create(board, controllers(consensus));
        CountDownLatch drained = new CountDownLatch(1);
        AtomicReference<EffectExecutor> dispatcher = new AtomicReference<>(effect -> {});
        ControlThread control = ControlThread.create(
                cycle,
                clock,
                effect -> Objects.requireNonNull(dispatcher.get()).execute(effect),
                settings.bounds().eventQueueCapacity());
        CallerFrontend callers = CallerFrontend.create(settings, clock, control::view, control, metrics);
        OperatorFrontend operators = OperatorFrontend.create(
                settings,
                control::view,
                () -> StatusReport.toJson(control.status(), metrics),
                Daemon::parseSheet,
                control,
                metrics);
        BackendClient backends = BackendClient.create(settings, clock, control, callers, metrics);
        PeerNetwork peers = PeerNetwork.create(settings, incarnation, PeerMessageCodec.create(), control, metrics);
        dispatcher.set(EffectDispatcher.create(
                callers, operators, backends, peers, storage, Counters.create(metrics), drained::countDown));
        deferredEvents.connect(control);
        Components components = new Components(control, callers, operators, backends, peers, storage);
        Daemon daemon = new Daemon(settings, components, drained);
        return daemon.listen().map(none -> daemon);
    }

    private static List<Controller> controllers(ConsensusController consensus) {
        List<Controller> controllers = new ArrayList<>();
        controllers.add(MembershipController.create());
        controllers.add(ServerController.create());
        controllers.add(consensus);
        controllers.add(ConfigurationController.create());
        controllers.add(DrainController.create());
        controllers.add(LimitController.create());
        controllers.add(QuarantineController.create());
        controllers.add(AdmissionController.create());
        controllers.add(CallRecordingController.create());
        controllers.add(OrderController.create());
        controllers.add(WorkController.create());
        controllers.add(OwnershipController.create());
        controllers.add(AttemptController.create());
        controllers.add(RoutingController.create());
        controllers.add(CapacityController.create());
        controllers.add(AlarmController.create());
        return controllers;
    }

    private static Either<Failure, Sheet> parseSheet(byte[] bytes) {
        return SheetParser.parse(bytes).mapLeft(problems -> Failure.of(ErrorKind.SHEET_INVALID, problems.text()));
    }

    private Either<Failure, Integer> listen() {
        try {
            components.operators().start();
            components.callers().start();
        } catch (IllegalStateException e) {
            close();
            return Either.left(Failure.of(ErrorKind.SETTINGS_INVALID, String.valueOf(e.getMessage())));
        }
        components.control().start();
        Either<Failure, Integer> listening = components.peers().start();
        if (listening.isLeft()) {
            close();
        } else {
            LOG.info(
                    "daemon_started",
                    "host",
                    settings.host(),
                    "zone",
                    settings.zone(),
                    "callers",
                    components.callers().port(),
                    "operators",
                    components.operators().port(),
                    "peers",
                    components.peers().port());
        }
        return listening;
    }

    /** Returns the port for callers. */
    public int callerPort() {
        return components.callers().port();
    }

    /** Returns the port for operators and backend servers. */
    public int operatorPort() {
        return components.operators().port();
    }

    @Override
    EventSink events() {
        return components.control();
    }

    @Override
    void flushAnswers() throws InterruptedException {
        long deadline = System.nanoTime() + FLUSH_TIMEOUT.toNanos();
        while (components.callers().openExchanges() > 0 && System.nanoTime() - deadline < 0) {
            TimeUnit.MILLISECONDS.sleep(FLUSH_POLL_INTERVAL_MILLIS);
        }
    }

    @Override
    void closeComponents() throws InterruptedException {
        try {
            components.control().stop();
            components.callers().stop();
            components.operators().stop();
            components.backends().close();
            components.peers().close();
            if (components.storage().isPresent()) {
                components.storage().get().close();
            }
        } finally {
            LOG.info("daemon_stopped", "host", settings.host());
        }
    }
}
