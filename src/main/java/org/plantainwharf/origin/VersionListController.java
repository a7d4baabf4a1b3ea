package org.plantainwharf.origin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.configuration.ControlState;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.PeriodicTimer;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.DocumentEvent;
import org.plantainwharf.event.DutyEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.OperatorEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.PlatformEvent;
import org.plantainwharf.event.RegistryEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.RolloutEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.registry.KnownServer;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;

/**
 * Keeps the list of software versions that may have begun streams in the log of the control group. Any control daemon
 * that knows a ready server of a version that is not open proposes to list it; the leader closes and retires versions without servers.
 * Must come after the registry controller. Runs on the control thread.
 *
 * <p>A version is closed after no server of it was known for the time in which streams are taken up. It is retired after it
 * was closed for the time that a daemon may be cut off, and the time in which streams are taken up. Both are measured on
 * the leader's monotonic clock and begin anew with each leadership, so that no other clock counts.
 */
public final class VersionListController implements Controller {
    private static final int CONTROL_GROUP = 0;

    /** A daemon that is cut off may begin streams at a closed version for so long. Longer than cuts of minutes between regions. */
    private static final long LONGEST_CUT_NANOS = TimeUnit.HOURS.toNanos(1);

    private static final long SCAN_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The list is full: asking again at once changes nothing. */
    private static final long REFUSAL_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final int MAXIMUM_REFUSALS = 1_024;

    private final PeriodicTimer scan = PeriodicTimer.ofNanos(SCAN_PERIOD_NANOS);
    private final Map<String, Command.Control> undecided = new HashMap<>();
    private final Map<Listed, Long> refusedNanos = new HashMap<>();
    private final Map<Listed, Long> seenNanos = new HashMap<>();
    private final Map<Listed, Long> closedNanos = new HashMap<>();
    private long leadingTerm;

    private record Listed(ServiceName service, ServerVersion version) {}

    private VersionListController() {}

    /** Returns the controller of a daemon that receives reports from servers. */
    public static VersionListController create() {
        return new VersionListController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case RegistryEvent registry -> onReport(registry, board, nowNanos, effects);
            case ReplicationEvent replication -> onReplication(replication, nowNanos, effects);
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case PeerEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case DutyEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private void onReport(RegistryEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case RegistryEvent.ServerReported reported -> listIfReady(reported.report(), board, nowNanos, effects);
            case RegistryEvent.ServerDeregistered deregistered -> {}
        }
    }

    private void listIfReady(ServerReport report, Board board, long nowNanos, Effects effects) {
        ControlState state = board.configuration().state();
        if (report.phase() != ServerPhase.READY || state.mayBeginStreams(report.service(), report.version())) {
            return;
        }
        Listed listed = new Listed(report.service(), report.version());
        @Nullable Long refused = refusedNanos.get(listed);
        if (refused == null || nowNanos - refused >= REFUSAL_PAUSE_NANOS) {
            propose("list", listed, new Command.ListServerVersion(listed.service(), listed.version()), board, effects);
        }
    }

    private void propose(String change, Listed listed, Command.Control command, Board board, Effects effects) {
        String proposalId = "version/" + change + "/" + board.membership().self() + "/"
                + board.membership().incarnation() + "/" + listed.service() + "/" + listed.version();
        if (undecided.putIfAbsent(proposalId, command) == null) {
            effects.post(new ReplicationEvent.ProposalRequested(proposalId, CONTROL_GROUP, command));
        }
    }

    private void onReplication(ReplicationEvent event, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent.ProposalDecided decided ->
                onDecided(undecided.remove(decided.proposalId()), decided.result(), nowNanos, effects);
            case ReplicationEvent.ProposalFailed failed -> undecided.remove(failed.proposalId());
            case ReplicationEvent.EntryApplied ignored -> {}
            case ReplicationEvent.StateReplaced ignored -> {}
            case ReplicationEvent.ProposalRequested ignored -> {}
            case ReplicationEvent.QueryRequested ignored -> {}
            case ReplicationEvent.QueryAnswered ignored -> {}
            case ReplicationEvent.QueryFailed ignored -> {}
            case ReplicationEvent.LeadershipChanged ignored -> {}
        }
    }

    private void onDecided(Command.@Nullable Control command, CommandResult result, long nowNanos, Effects effects) {
        boolean done = result instanceof CommandResult.Done;
        if (command instanceof Command.ListServerVersion list) {
            if (done) {
                effects.log("version_listed", "service", list.service(), "version", list.version());
            } else {
                if (refusedNanos.size() >= MAXIMUM_REFUSALS) {
                    refusedNanos.clear();
                }
                refusedNanos.put(new Listed(list.service(), list.version()), nowNanos);
                effects.count("origin.versions_not_listed");
            }
        } else if (command instanceof Command.CloseServerVersion close && done) {
            effects.log("version_closed", "service", close.service(), "version", close.version());
        } else if (command instanceof Command.RetireServerVersion retire && done) {
            effects.log("version_retired", "service", retire.service(), "version", retire.version());
        }
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        if (!scan.startIfDue(nowNanos)) {
            return;
        }
        Set<Listed> present = new HashSet<>();
        for (KnownServer server : board.registry().servers()) {
            ServerReport report = server.report();
            if (report.phase() != ServerPhase.GONE) {
                present.add(new Listed(report.service(), report.version()));
                listIfReady(report, board, nowNanos, effects);
            }
        }
        long term = board.consensus().group(CONTROL_GROUP).holdsLease(nowNanos)
                ? board.consensus().group(CONTROL_GROUP).term()
                : 0;
        if (term != leadingTerm) {
            leadingTerm = term;
            seenNanos.clear();
            closedNanos.clear();
        }
        if (term != 0) {
            retireAbsentVersions(present, board, nowNanos, effects);
        }
    }

    private void retireAbsentVersions(Set<Listed> present, Board board, long nowNanos, Effects effects) {
        ControlState state = board.configuration().state();
        Set<Listed> all = new HashSet<>();
        for (ServiceName service : state.servicesWithListedVersions()) {
            state.listedVersions(service).forEach(version -> all.add(new Listed(service, version)));
        }
        seenNanos.keySet().retainAll(all);
        closedNanos.keySet().retainAll(all);
        long retentionNanos = StreamRoutes.retentionNanos(board);
        for (Listed listed : all) {
            if (present.contains(listed)) {
                seenNanos.put(listed, nowNanos);
            }
            seenNanos.putIfAbsent(listed, nowNanos);
            boolean open = state.mayBeginStreams(listed.service(), listed.version());
            if (open) {
                closedNanos.remove(listed);
            } else {
                closedNanos.putIfAbsent(listed, nowNanos);
            }
            Set<ServerVersion> versions = state.listedVersions(listed.service());
            // The servers of a service that were all away for a time begin streams at once when they are back.
            boolean last = open
                    ? versions.stream()
                                    .filter(version -> state.mayBeginStreams(listed.service(), version))
                                    .count()
                            <= 1
                    : versions.size() <= 1;
            if (last || nowNanos - Objects.requireNonNull(seenNanos.get(listed)) < retentionNanos) {
                continue;
            }
            if (open) {
                propose(
                        "close",
                        listed,
                        new Command.CloseServerVersion(listed.service(), listed.version()),
                        board,
                        effects);
            } else if (nowNanos - Objects.requireNonNull(closedNanos.get(listed))
                    >= LONGEST_CUT_NANOS + retentionNanos) {
                propose(
                        "retire",
                        listed,
                        new Command.RetireServerVersion(listed.service(), listed.version()),
                        board,
                        effects);
            }
        }
    }
}
