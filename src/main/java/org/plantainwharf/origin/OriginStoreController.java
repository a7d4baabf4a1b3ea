package org.plantainwharf.origin;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.PeriodicTimer;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.PeerEffect;
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
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.replicated.Command;

/**
 * Keeps the records of where streams began on a control daemon, and answers questions of entry daemons. Must come after
 * the consensus and document controllers. Runs on the control thread.
 *
 * <p>Invariant: a reply that says it is of the leader lists every version at which a stream of the service can have begun
 * before the question. A version is used only after it is committed, and a leader under a valid lease that has applied
 * all that is committed knows it.
 */
public final class OriginStoreController implements Controller {
    private static final int CONTROL_GROUP = 0;
    private static final long EXPIRY_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final PeriodicTimer expiry = PeriodicTimer.ofNanos(EXPIRY_PERIOD_NANOS);
    private Optional<StreamRoutes> routes = Optional.empty();
    private long documentVersion = Long.MIN_VALUE;
    private int unobservedDocuments;
    private Optional<Long> routesChangedNanos = Optional.empty();

    private OriginStoreController() {}

    /** Returns the controller of a control daemon. */
    public static OriginStoreController create() {
        return new OriginStoreController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case PeerEvent.PeerMessageReceived received ->
                onMessage(received.peer(), received.message(), board, nowNanos, effects);
            case PeerEvent ignored -> {}
            case TimerEvent.Tick tick -> {
                observeRoutes(board, nowNanos);
                if (expiry.startIfDue(nowNanos)) {
                    board.origins().records().removeExpired(nowNanos, StreamRoutes.retentionNanos(board));
                }
            }
            case ReplicationEvent replication -> {
                if (replication instanceof ReplicationEvent.EntryApplied applied
                        && applied.command() instanceof Command.ReplaceDocument) {
                    unobservedDocuments++;
                }
                observeRoutes(board, nowNanos);
            }
            case RegistryEvent ignored -> {}
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

    private void observeRoutes(Board board, long nowNanos) {
        if (board.documents().version() == documentVersion) {
            return;
        }
        documentVersion = board.documents().version();
        Optional<StreamRoutes> current =
                Optional.of(StreamRoutes.of(board.documents().document()));
        // Of several documents that arrive together only the last is decoded; other daemons may have used the others.
        boolean skipped = unobservedDocuments > 1;
        unobservedDocuments = 0;
        if (routes.isPresent() && (skipped || !routes.equals(current))) {
            routesChangedNanos = Optional.of(nowNanos);
        }
        routes = current;
    }

    private void onMessage(HostId peer, PeerMessage message, Board board, long nowNanos, Effects effects) {
        if (message instanceof PeerMessage.StreamOrigins news) {
            keep(news, board, nowNanos, effects);
        } else if (message instanceof PeerMessage.OriginQuestion question) {
            effects.add(new PeerEffect.SendToPeer(peer, reply(question, board, nowNanos)));
        }
    }

    private static void keep(PeerMessage.StreamOrigins news, Board board, long nowNanos, Effects effects) {
        long received = 0;
        for (var entry : news.origins().entrySet()) {
            if (OriginKey.isValid(entry.getKey())) {
                received++;
                if (board.origins().records().keep(entry.getKey(), entry.getValue(), nowNanos)) {
                    effects.count("origin.records_dropped");
                }
            }
        }
        effects.add(new CountEffect("origin.records_received", received));
    }

    private PeerMessage.OriginReply reply(PeerMessage.OriginQuestion question, Board board, long nowNanos) {
        GroupStatus status = board.consensus().group(CONTROL_GROUP);
        boolean leading = status.holdsLease(nowNanos) && status.appliedIndex() >= status.commitIndex();
        Set<ServerVersion> listed = mayHaveLedElsewhere(board, nowNanos)
                ? Set.of()
                : board.configuration().state().listedVersions(question.service());
        return new PeerMessage.OriginReply(
                question.attempt(),
                question.service(),
                board.origins().records().find(question.attempt()),
                leading,
                listed);
    }

    /** After a document has led streams to other services, a stream may have begun at a service that is not asked about. */
    private boolean mayHaveLedElsewhere(Board board, long nowNanos) {
        return routesChangedNanos.isPresent()
                && nowNanos - routesChangedNanos.get() < StreamRoutes.retentionNanos(board);
    }
}
