package org.plantainwharf.document;

import java.time.Duration;

import io.vavr.control.Either;
import org.plantainwharf.board.Board;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.DocumentEffect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.error.Failure;
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
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.StateRecord;

/**
 * Proposes service documents to the control group, reads the newest one through the group's log, and puts committed
 * documents in force: the first one as soon as this daemon has caught up with the log, later ones with the next tick, so
 * that a series of large documents costs a small host one decoding and not one for each. Runs on the control thread.
 */
public final class DocumentController implements Controller {
    private static final int CONTROL_GROUP = 0;

    /**
     * A document is in force on every reachable host within 5 s. A daemon that cannot find out for that long whether it
     * has the newest one serves with what it has, as one that is cut off later does.
     */
    private static final long FIRST_DOCUMENT_WAIT_NANOS = Duration.ofSeconds(5).toNanos();

    private final DocumentCodec codec;
    private final boolean learning;

    private DocumentController(DocumentCodec codec, boolean learning) {
        this.codec = codec;
        this.learning = learning;
    }

    /** Returns a controller for a daemon that keeps the log on its disk. */
    public static DocumentController create(DocumentCodec codec) {
        return new DocumentController(codec, false);
    }

    /** Returns a controller for a daemon without a disk, which learns the log anew after each start. */
    public static DocumentController learning(DocumentCodec codec) {
        return new DocumentController(codec, true);
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case DocumentEvent document -> onDocument(document, board, effects);
            case RolloutEvent ignored -> {}
            case ReplicationEvent replication -> onReplication(replication, board, nowNanos, effects);
            case TimerEvent.Tick tick -> putInForce(board, nowNanos, effects);
            case PeerEvent ignored -> {}
            case RegistryEvent ignored -> {}
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

    /** Answers an operator whose request could not be handled: it may be sent again to any host. */
    @Override
    public void recover(Event event, Board board, long nowNanos, Effects effects) {
        if (event instanceof DocumentEvent document) {
            effects.add(new DocumentEffect.RefuseDocument(document.ticket()));
        } else if (event instanceof ReplicationEvent.ProposalDecided decided) {
            refuse(decided.proposalId(), board, effects);
        } else if (event instanceof ReplicationEvent.ProposalFailed failed) {
            refuse(failed.proposalId(), board, effects);
        }
    }

    private static void refuse(String proposalId, Board board, Effects effects) {
        board.documents()
                .takeTicket(proposalId)
                .ifPresent(ticket -> effects.add(new DocumentEffect.RefuseDocument(ticket)));
    }

    private static void onDocument(DocumentEvent event, Board board, Effects effects) {
        switch (event) {
            case DocumentEvent.DocumentSubmitted submitted ->
                propose(
                        submitted.ticket(),
                        new Command.ReplaceDocument(submitted.document().version(), submitted.content()),
                        board,
                        effects);
            case DocumentEvent.DocumentRequested requested ->
                propose(requested.ticket(), new Command.ReadDocument(), board, effects);
        }
    }

    private static void propose(long ticket, Command command, Board board, Effects effects) {
        String proposalId = "document/" + board.membership().self() + "/"
                + board.membership().incarnation() + "/" + ticket;
        board.documents().recordProposal(proposalId, ticket);
        effects.post(new ReplicationEvent.ProposalRequested(proposalId, CONTROL_GROUP, command));
    }

    private void onReplication(ReplicationEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent.ProposalDecided decided ->
                board.documents()
                        .takeTicket(decided.proposalId())
                        .ifPresent(ticket -> effects.add(answer(ticket, decided.result(), effects)));
            case ReplicationEvent.ProposalFailed failed ->
                board.documents().takeTicket(failed.proposalId()).ifPresent(ticket -> {
                    effects.log("document_undecided", "ticket", ticket, "reason", failed.reason());
                    effects.add(new DocumentEffect.RefuseDocument(ticket));
                });
            case ReplicationEvent.EntryApplied applied -> {
                // Later documents wait for the next tick: of several that arrive together only the newest is decoded.
                if (applied.group() == CONTROL_GROUP
                        && applied.command() instanceof Command.ReplaceDocument
                        && board.documents().table().isEmpty()) {
                    putInForce(board, nowNanos, effects);
                }
            }
            case ReplicationEvent.StateReplaced replaced -> {
                if (replaced.group() == CONTROL_GROUP) {
                    putInForce(board, nowNanos, effects);
                }
            }
            case ReplicationEvent.ProposalRequested ignored -> {}
            case ReplicationEvent.QueryRequested ignored -> {}
            case ReplicationEvent.QueryAnswered ignored -> {}
            case ReplicationEvent.QueryFailed ignored -> {}
            case ReplicationEvent.LeadershipChanged ignored -> {}
        }
    }

    private static DocumentEffect answer(long ticket, CommandResult result, Effects effects) {
        if (result instanceof CommandResult.DocumentHeld held) {
            return new DocumentEffect.AcknowledgeDocument(ticket, held.version());
        }
        if (result instanceof CommandResult.DocumentContent content) {
            return new DocumentEffect.ReturnDocument(ticket, content.version(), content.content());
        }
        effects.log("document_result_unexpected", "type", result.getClass().getSimpleName());
        return new DocumentEffect.RefuseDocument(ticket);
    }

    /**
     * Returns whether the first document may be put in force: this daemon has applied everything that was committed when
     * its source last answered, and a learner has done so lately. A daemon that has just started learns the log from its
     * beginning and must not serve by the documents of former days, nor by one that is superseded on its way.
     */
    private boolean mayServe(Board board, long nowNanos) {
        GroupStatus status = board.consensus().group(CONTROL_GROUP);
        if (status.appliedIndex() < status.commitIndex()) {
            return false;
        }
        return !learning
                || NewestDocument.isKnown(board, nowNanos)
                || nowNanos - board.documents().heldSince(nowNanos) >= FIRST_DOCUMENT_WAIT_NANOS;
    }

    private void putInForce(Board board, long nowNanos, Effects effects) {
        DocumentSection section = board.documents();
        StateRecord.Document committed =
                board.configuration().state().document().orElse(null);
        if (committed == null
                || committed.version() <= section.newestDecodedVersion()
                || section.table().isEmpty() && !mayServe(board, nowNanos)) {
            return;
        }
        section.recordDecoded(committed.version());
        Either<Failure, ServiceDocument> decoded = codec.decode(committed.content());
        if (decoded.isLeft()) {
            // The daemon that accepted the document found it valid, so this daemon runs a different program version.
            effects.log(
                    "document_unreadable",
                    "version",
                    committed.version(),
                    "problem",
                    decoded.getLeft().message());
            return;
        }
        section.putInForce(decoded.get());
        effects.add(new DocumentEffect.ApplyCallerBounds(decoded.get().bounds()));
        effects.log(
                "document_in_force",
                "version",
                committed.version(),
                "routes",
                decoded.get().routes().size(),
                "accounts",
                decoded.get().accounts().size());
    }
}
