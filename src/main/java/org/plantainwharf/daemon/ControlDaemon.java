package org.plantainwharf.daemon;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import org.plantainwharf.board.Board;
import org.plantainwharf.codec.PeerMessageCodec;
import org.plantainwharf.codec.ProtobufRecordCodec;
import org.plantainwharf.consensus.ConsensusController;
import org.plantainwharf.consensus.FailedDiskController;
import org.plantainwharf.consensus.RecoveredGroup;
import org.plantainwharf.consensus.ReplicaSnapshot;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.ControlThread;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.EffectExecutor;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.document.DocumentCodec;
import org.plantainwharf.document.DocumentController;
import org.plantainwharf.drain.DrainController;
import org.plantainwharf.duty.FencingController;
import org.plantainwharf.duty.ScalingController;
import org.plantainwharf.duty.UsageController;
import org.plantainwharf.effect.DocumentEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.front.MetricsFrontend;
import org.plantainwharf.handover.HelperController;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.keptpart.KeptPartController;
import org.plantainwharf.limit.AllowanceController;
import org.plantainwharf.log.LineLog;
import org.plantainwharf.membership.DiscoveryController;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.metric.Counters;
import org.plantainwharf.metric.Telemetry;
import org.plantainwharf.observation.ObservationController;
import org.plantainwharf.origin.OriginStoreController;
import org.plantainwharf.origin.VersionListController;
import org.plantainwharf.registry.DepartureController;
import org.plantainwharf.registry.RegistryController;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.rollout.RolloutLogController;
import org.plantainwharf.rollout.RolloutOrderController;
import org.plantainwharf.rollout.RolloutVerdictController;
import org.plantainwharf.room.RoomController;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.storage.BootstrapState;
import org.plantainwharf.storage.StorageWriter;
import org.plantainwharf.transport.PeerNetwork;
import org.plantainwharf.transport.PeerPolicy;

/**
 * A daemon that stores the replicated log of the control group, receives heartbeats of backend servers and service
 * documents of operators, and executes duties. Thread-safe.
 */
public final class ControlDaemon extends RunningDaemon {
    private final ControlThread control;
    private final ControlFrontend frontend;
    private final CloudApi cloudApi;
    private final PeerNetwork peers;
    private final StorageWriter storage;
    private final MetricsFrontend metricsFrontend;
    private final LineLog log;

    private ControlDaemon(
            RoleSettings role,
            DocumentCodec codec,
            BiFunction<EventSink, Telemetry, ControlFrontend> frontendFactory,
            Function<EventSink, CloudApi> cloudApiFactory,
            DeferredEventSink deferredEvents,
            StorageWriter storage,
            LineLog log) {
        this.storage = storage;
        this.log = log;
        Settings settings = role.settings();
        Clock clock = Clock.system();
        SecureRandom random = new SecureRandom();
        long incarnation = random.nextLong(1, Long.MAX_VALUE);
        MetricRegistry metrics = new MetricRegistry();
        Telemetry telemetry = new Telemetry(metrics, log);
        this.metricsFrontend = MetricsFrontend.create(role.metricsAddress(), settings.bounds(), telemetry);
        Board board = Board.create(settings, incarnation, random.nextLong());
        RecoveredGroup recovered = storage.recover(0);
        Map<HostId, String> known = knownDaemons(role, recovered);
        ConsensusController consensus = ConsensusController.createForDiscoveredHosts(
                settings,
                List.copyOf(known.keySet()),
                storage.diskIncarnation(),
                recovered,
                board.configuration().state(),
                new SplittableRandom(random.nextLong()),
                clock.nowNanos());
        List<Controller> controllers = List.of(
                MembershipController.create(),
                DiscoveryController.create(known, Optional.of(settings.peerAddress()), settings.host()),
                RegistryController.relaying(),
                DepartureController.create(),
                consensus,
                FailedDiskController.create(),
                DocumentController.create(codec),
                RolloutOrderController.create(),
                RolloutLogController.create(),
                VersionListController.create(),
                OriginStoreController.create(),
                RolloutVerdictController.create(role.rolloutBounds()),
                DrainController.create(),
                ObservationController.ofControlDaemon(),
                KeptPartController.create(),
                HelperController.create(),
                AllowanceController.create(),
                RoomController.ofSettings(role.sharesRoom()),
                FencingController.create(role.dutyLeaseMillis()),
                UsageController.create(role.usageWindowMillis(), role.usageReportDeadlineMillis()),
                ScalingController.create());
        AtomicReference<EffectExecutor> dispatcher = new AtomicReference<>(effect -> {});
        this.control = ControlThread.create(
                ControlCycle.create(board, controllers),
                clock,
                effect -> Objects.requireNonNull(dispatcher.get()).execute(effect),
                settings.bounds().eventQueueCapacity());
        deferredEvents.connect(control);
        this.frontend = frontendFactory.apply(control, telemetry);
        this.cloudApi = cloudApiFactory.apply(control);
        this.peers = PeerNetwork.create(
                settings, new PeerPolicy.Discovered(known), incarnation, PeerMessageCodec.create(), control, metrics);
        dispatcher.set(RoleEffectDispatcher.create(new RoleEffectDispatcher.EffectHandlers(
                peers,
                log,
                Counters.create(metrics),
                effect -> log.write("effect_misdirected", "family", "forward"),
                frontend::execute,
                this::executeDocumentEffect,
                frontend::execute,
                cloudApi::execute,
                storage::execute,
                this::markDrained)));
    }

    /**
     * Starts a control daemon, or returns why it cannot start: a corrupt log, an unusable folder or an address in use.
     *
     * @param frontendFactory creates the frontend for backend servers and operators
     * @param cloudApiFactory creates the client of the cloud API
     */
    public static Either<Failure, ControlDaemon> start(
            RoleSettings role,
            DocumentCodec codec,
            BiFunction<EventSink, Telemetry, ControlFrontend> frontendFactory,
            Function<EventSink, CloudApi> cloudApiFactory,
            LineLog log) {
        DeferredEventSink deferredEvents = DeferredEventSink.create();
        return openStorage(role, deferredEvents).flatMap(storage -> {
            ControlDaemon daemon =
                    new ControlDaemon(role, codec, frontendFactory, cloudApiFactory, deferredEvents, storage, log);
            return daemon.listen(role);
        });
    }

    private static Either<Failure, StorageWriter> openStorage(RoleSettings role, DeferredEventSink events) {
        Optional<String> folder = role.settings().dataFolder();
        if (folder.isEmpty()) {
            return Either.left(Failure.of(ErrorKind.SETTINGS_INVALID, "a control daemon needs a data folder"));
        }
        Path path = Path.of(folder.get());
        if (!role.initialVoters().contains(role.settings().host())) {
            return StorageWriter.open(path, ProtobufRecordCodec.create(), events);
        }
        List<VoterId> voters = role.initialVoters().stream()
                .map(host -> VoterId.of(host, BootstrapState.INCARNATION))
                .toList();
        return StorageWriter.open(
                path,
                ProtobufRecordCodec.create(),
                events,
                new BootstrapState(BootstrapState.INCARNATION, 0, new ReplicaSnapshot(1, 1, voters, List.of())));
    }

    /** Returns the link addresses of the seeds, which may be out of date, and of the voters in the recovered log. */
    private static Map<HostId, String> knownDaemons(RoleSettings role, RecoveredGroup recovered) {
        Map<HostId, String> known = new HashMap<>(role.seeds());
        recovered.voters().forEach(voter -> known.put(voter.host(), role.linkAddress(voter.host())));
        known.remove(role.settings().host());
        return known;
    }

    private Either<Failure, ControlDaemon> listen(RoleSettings role) {
        try {
            frontend.start();
            metricsFrontend.start();
        } catch (IllegalStateException e) {
            close();
            return Either.left(Failure.of(ErrorKind.SETTINGS_INVALID, String.valueOf(e.getMessage())));
        }
        control.start();
        Either<Failure, Integer> listening = peers.start();
        if (listening.isLeft()) {
            close();
            return Either.left(listening.getLeft());
        }
        log.write(
                "daemon_started",
                "role",
                "control",
                "peers",
                listening.get(),
                "disk",
                storage.diskIncarnation(),
                "first_voter",
                role.initialVoters().contains(role.settings().host()));
        return Either.right(this);
    }

    private void executeDocumentEffect(DocumentEffect effect) {
        // A control daemon has no callers, so limits on their requests do not apply.
        if (!(effect instanceof DocumentEffect.ApplyCallerBounds)) {
            frontend.execute(effect);
        }
    }

    @Override
    EventSink events() {
        return control;
    }

    @Override
    void closeComponents() throws InterruptedException {
        control.stop();
        log.write("daemon_stopped", "role", "control");
        frontend.stop();
        metricsFrontend.stop();
        cloudApi.stop();
        peers.close();
        storage.close();
        log.close();
    }
}
