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
import org.plantainwharf.front.MetricsFront;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.limit.AllowanceController;
import org.plantainwharf.log.LineLog;
import org.plantainwharf.membership.DiscoveryController;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.metric.Counters;
import org.plantainwharf.registry.RegistryController;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.storage.Founding;
import org.plantainwharf.storage.StorageWriter;
import org.plantainwharf.transport.PeerNetwork;
import org.plantainwharf.transport.PeerPolicy;

/** A daemon that holds the control group's log, takes reports and documents, and carries out duties. Thread-safe. */
public final class ControlDaemon extends RunningDaemon {
    private final ControlThread control;
    private final ControlSurface surface;
    private final CloudApi cloud;
    private final PeerNetwork peers;
    private final StorageWriter storage;
    private final MetricsFront metricsFront;
    private final LineLog log;

    private ControlDaemon(
            RoleSettings role,
            DocumentCodec codec,
            Function<EventSink, ControlSurface> surfaces,
            Function<EventSink, CloudApi> clouds,
            EventRelay events,
            StorageWriter storage,
            LineLog log) {
        this.storage = storage;
        this.log = log;
        Settings settings = role.settings();
        Clock clock = Clock.system();
        SecureRandom random = new SecureRandom();
        long incarnation = random.nextLong(1, Long.MAX_VALUE);
        MetricRegistry metrics = new MetricRegistry();
        this.metricsFront = MetricsFront.create(role.metricsAddress(), settings.bounds(), metrics);
        Board board = Board.create(settings, incarnation, random.nextLong());
        RecoveredGroup content = storage.recover(0);
        Map<HostId, String> known = knownDaemons(role, content);
        ConsensusController consensus = ConsensusController.discovering(
                settings,
                List.copyOf(known.keySet()),
                storage.diskIncarnation(),
                content,
                board.configuration().state(),
                new SplittableRandom(random.nextLong()),
                clock.nowNanos());
        List<Controller> controllers = List.of(
                MembershipController.create(),
                DiscoveryController.create(known, Optional.of(settings.peerAddress()), settings.host()),
                RegistryController.relaying(),
                consensus,
                FailedDiskController.create(),
                DocumentController.create(codec),
                DrainController.create(),
                AllowanceController.create(),
                FencingController.create(),
                UsageController.create(role.windowMillis(), role.usageDueMillis()),
                ScalingController.create());
        AtomicReference<EffectExecutor> dispatcher = new AtomicReference<>(effect -> {});
        this.control = ControlThread.create(
                ControlCycle.create(board, controllers),
                clock,
                effect -> Objects.requireNonNull(dispatcher.get()).execute(effect),
                settings.bounds().eventQueueCapacity());
        events.connect(control);
        this.surface = surfaces.apply(control);
        this.cloud = clouds.apply(control);
        this.peers = PeerNetwork.create(
                settings, new PeerPolicy.Discovered(known), incarnation, PeerMessageCodec.create(), control, metrics);
        dispatcher.set(RoleDispatcher.create(new RoleDispatcher.Parts(
                peers,
                log,
                Counters.create(metrics),
                effect -> log.write("effect_misdirected", "family", "forward"),
                surface::execute,
                this::document,
                cloud::execute,
                storage::execute,
                this::noteDrained)));
    }

    /**
     * Starts a control daemon, or says why it cannot start: a corrupt log, an unusable folder or an occupied address.
     *
     * @param surfaces gives the surface for servers and operators
     * @param clouds gives the cloud API
     */
    public static Either<Failure, ControlDaemon> start(
            RoleSettings role,
            DocumentCodec codec,
            Function<EventSink, ControlSurface> surfaces,
            Function<EventSink, CloudApi> clouds,
            LineLog log) {
        EventRelay events = EventRelay.create();
        return openStorage(role, events).flatMap(storage -> {
            ControlDaemon daemon = new ControlDaemon(role, codec, surfaces, clouds, events, storage, log);
            return daemon.listen(role);
        });
    }

    private static Either<Failure, StorageWriter> openStorage(RoleSettings role, EventRelay events) {
        Optional<String> folder = role.settings().dataFolder();
        if (folder.isEmpty()) {
            return Either.left(Failure.of(ErrorKind.SETTINGS_INVALID, "a control daemon needs a data folder"));
        }
        Path path = Path.of(folder.get());
        if (!role.firstVoters().contains(role.settings().host())) {
            return StorageWriter.open(path, ProtobufRecordCodec.create(), events);
        }
        List<VoterId> voters = role.firstVoters().stream()
                .map(host -> VoterId.of(host, Founding.INCARNATION))
                .toList();
        return StorageWriter.open(
                path,
                ProtobufRecordCodec.create(),
                events,
                new Founding(Founding.INCARNATION, 0, new ReplicaSnapshot(1, 1, voters, List.of())));
    }

    /** The seeds may be stale; the log names the voters as well. */
    private static Map<HostId, String> knownDaemons(RoleSettings role, RecoveredGroup content) {
        Map<HostId, String> known = new HashMap<>(role.seeds());
        content.voters().forEach(voter -> known.put(voter.host(), role.linkAddress(voter.host())));
        known.remove(role.settings().host());
        return known;
    }

    private Either<Failure, ControlDaemon> listen(RoleSettings role) {
        try {
            surface.start();
            metricsFront.start();
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
                role.firstVoters().contains(role.settings().host()));
        return Either.right(this);
    }

    private void document(DocumentEffect effect) {
        // Callers do not connect here, so their bounds do not matter.
        if (!(effect instanceof DocumentEffect.ApplyCallerBounds)) {
            surface.execute(effect);
        }
    }

    @Override
    EventSink events() {
        return control;
    }

    @Override
    void closeParts() throws InterruptedException {
        control.stop();
        log.write("daemon_stopped", "role", "control");
        surface.stop();
        metricsFront.stop();
        cloud.stop();
        peers.close();
        storage.close();
        log.close();
    }
}
