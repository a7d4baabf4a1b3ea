package org.plantainwharf.origin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Content;
import org.plantainwharf.consensus.ConsensusController;
import org.plantainwharf.consensus.RecoveredGroup;
import org.plantainwharf.consensus.ReplicaSnapshot;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.Controller;
import org.plantainwharf.document.CallerBounds;
import org.plantainwharf.document.DocumentController;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.forward.ForwardController;
import org.plantainwharf.forward.ForwardLimits;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.registry.RegistryController;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.testing.Samples;

/**
 * One daemon of an {@link OriginFleet}. A control daemon has a disk that outlives its process; an entry daemon starts
 * empty. Used by one thread.
 */
final class OriginDaemon {
    static final ServiceName SERVICE = ServiceName.of("engines");

    private static final ServiceName OTHER_SERVICE = ServiceName.of("other-engines");
    private static final long SNAPSHOT_TERM = 1;

    private final HostId host;
    private final AvailabilityZone zone;
    private final boolean control;
    private final long diskIncarnation;
    private final Disk disk;
    private final List<ForwardEvent.OriginDecided> decided = new ArrayList<>();
    private ControlCycle cycle;
    private long incarnation;
    private boolean running = true;
    private long pausedUntilMillis;

    /** What is synced. */
    private static final class Disk {
        private long term;
        private String vote = "";
        private ReplicaSnapshot snapshot;
        private final TreeMap<Long, ReplicaEntry> entries = new TreeMap<>();

        Disk(List<VoterId> voters) {
            term = SNAPSHOT_TERM;
            snapshot = new ReplicaSnapshot(1, SNAPSHOT_TERM, voters, List.of());
        }

        void write(StorageEffect effect) {
            switch (effect) {
                case StorageEffect.WriteLog write -> {
                    term = write.term();
                    vote = write.vote();
                    if (write.truncateFrom() > 0) {
                        entries.tailMap(write.truncateFrom(), true).clear();
                    }
                    write.entries().forEach(entry -> entries.put(entry.index(), entry));
                }
                case StorageEffect.WriteSnapshot write -> {
                    snapshot =
                            new ReplicaSnapshot(write.lastIndex(), write.lastTerm(), write.voters(), write.records());
                    entries.headMap(write.firstRetainedIndex(), false).clear();
                }
            }
        }

        RecoveredGroup recover() {
            return new RecoveredGroup(term, vote, snapshot, List.copyOf(entries.values()));
        }
    }

    OriginDaemon(HostId host, AvailabilityZone zone, long diskIncarnation, List<VoterId> voters) {
        this.host = host;
        this.zone = zone;
        this.control = diskIncarnation > 0;
        this.diskIncarnation = diskIncarnation;
        this.disk = new Disk(voters);
        this.cycle = ControlCycle.create(Samples.board(host.value(), 1), List.of());
    }

    /** Starts a new process with what the disk has. */
    void start(List<HostId> seeds, long seed, long nowNanos) {
        incarnation++;
        running = true;
        Board board = Board.create(Samples.settings(host.value()), incarnation, seed);
        ConsensusController consensus = ConsensusController.createForDiscoveredHosts(
                board.settings(),
                seeds,
                diskIncarnation,
                control ? disk.recover() : RecoveredGroup.empty(),
                board.configuration().state(),
                new SplittableRandom(seed),
                nowNanos);
        Controller recorder = (event, ignored, now, effects) -> {
            if (event instanceof ForwardEvent.OriginDecided decision) {
                decided.add(decision);
            }
        };
        cycle = ControlCycle.create(
                board,
                control
                        ? List.of(
                                MembershipController.create(),
                                RegistryController.relaying(),
                                consensus,
                                documentController(),
                                VersionListController.create(),
                                OriginStoreController.create())
                        : List.of(
                                MembershipController.create(),
                                RegistryController.learning(),
                                consensus,
                                documentController(),
                                OriginLookupController.create(),
                                ForwardController.create(new ForwardLimits(0.2, 50, 8, 0, 0)),
                                OriginRecordController.create(),
                                recorder));
    }

    /** Reads documents whose content is their version and the number of services of the only route. */
    private static DocumentController documentController() {
        return DocumentController.create(content -> Either.right(document(content.bytes()[0], content.bytes()[1] > 1)));
    }

    static Command.ReplaceDocument replaceDocument(int version, int services) {
        return new Command.ReplaceDocument(
                version, Content.of("application/json", new byte[] {(byte) version, (byte) services}));
    }

    private static ServiceDocument document(long version, boolean severalServices) {
        RouteRule.Share share = new RouteRule.Share(SERVICE, 1);
        RouteRule route = new RouteRule(
                RouteName.of("review"),
                "a.example",
                "/",
                Repeatability.STREAM,
                15_000,
                2_000,
                2,
                severalServices ? List.of(share, new RouteRule.Share(OTHER_SERVICE, 1)) : List.of(share),
                2,
                true,
                true,
                0);
        return new ServiceDocument(
                version,
                List.of(route),
                Map.of(SERVICE, rule(SERVICE), OTHER_SERVICE, rule(OTHER_SERVICE)),
                CallerBounds.defaults(),
                List.of());
    }

    private static ServiceRule rule(ServiceName service) {
        return new ServiceRule(service, 360, Optional.empty(), Optional.empty());
    }

    void stop() {
        running = false;
        incarnation++;
    }

    void sync(StorageEffect write) {
        disk.write(write);
    }

    HostId host() {
        return host;
    }

    AvailabilityZone zone() {
        return zone;
    }

    boolean control() {
        return control;
    }

    boolean running() {
        return running;
    }

    /** Changes with each start and each end of the process. */
    long incarnation() {
        return incarnation;
    }

    ControlCycle cycle() {
        return cycle;
    }

    Board board() {
        return cycle.board();
    }

    List<ForwardEvent.OriginDecided> takeDecided() {
        List<ForwardEvent.OriginDecided> taken = List.copyOf(decided);
        decided.clear();
        return taken;
    }

    long pausedUntilMillis() {
        return pausedUntilMillis;
    }

    void pauseUntil(long millis) {
        pausedUntilMillis = millis;
    }
}
