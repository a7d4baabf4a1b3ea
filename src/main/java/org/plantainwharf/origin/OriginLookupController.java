package org.plantainwharf.origin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
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
import org.plantainwharf.forward.ForwardCall;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.membership.Member;
import org.plantainwharf.message.PeerMessage;

/**
 * Looks up the origin of a stream that a caller takes up at this entry daemon. Must come after the consensus and document
 * controllers and before the forward controller. Runs on the control thread; pending lookups are state with a deadline,
 * so no thread waits.
 *
 * <p>Invariant: an origin is told only from a record, or from a reply of the leader that names the only version at which the
 * stream can have begun. The registry of this daemon never counts: a daemon that has just started and sees one version
 * has learned only which one is left. An entry daemon links with control daemons only, so all linked daemons are asked.
 */
public final class OriginLookupController implements Controller {
    /** Each waiting request is held by a caller; beyond this number they are refused like those that time out. */
    private static final int MAXIMUM_WAITING_REQUESTS = 4_096;

    /** The record may be at a daemon in another zone, three milliseconds away, that is busy for a moment. */
    private static final long AFTER_LEADER_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Callers return soon after a refusal, and an election takes longer than a caller should be held. */
    private static final long WITHOUT_LEADER_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private long questionsWithoutAttempt;

    private OriginLookupController() {}

    /** Returns the controller of an entry daemon. */
    public static OriginLookupController create() {
        return new OriginLookupController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent.OriginRequested requested -> onRequested(requested, board, nowNanos, effects);
            case ForwardEvent ignored -> {}
            case PeerEvent peer -> onPeer(peer, board, nowNanos, effects);
            case ReplicationEvent ignored -> {}
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case RegistryEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    /** The stream of a caller whose question could not be asked goes on nowhere. */
    @Override
    public void recover(Event event, Board board, long nowNanos, Effects effects) {
        if (event instanceof ForwardEvent.OriginRequested requested) {
            effects.post(new ForwardEvent.OriginDecided(requested.ticket(), new OriginAnswer.Unknown()));
        }
    }

    private void onRequested(ForwardEvent.OriginRequested requested, Board board, long nowNanos, Effects effects) {
        OriginSection section = board.origins();
        effects.count("origin.lookups");
        Optional<String> key = requested.firstAttempt().map(OriginKey::of).filter(OriginKey::isValid);
        Optional<StreamOrigin> known = key.flatMap(section.records()::find);
        if (known.isPresent()) {
            OriginAnswer answer = answer(known.get(), OriginAnswer.Basis.OWN_RECORD);
            effects.count(answer instanceof OriginAnswer.Known ? "origin.lookups_known" : "origin.lookups_unknown");
            effects.post(new ForwardEvent.OriginDecided(requested.ticket(), answer));
            return;
        }
        if (section.waitingRequests() >= MAXIMUM_WAITING_REQUESTS) {
            effects.count("origin.lookups_unknown");
            effects.count("origin.lookups_refused");
            effects.post(new ForwardEvent.OriginDecided(requested.ticket(), new OriginAnswer.Unknown()));
            return;
        }
        OriginLookup.Question question = new OriginLookup.Question(
                key.orElseGet(() -> OriginKey.ofNoAttempt(questionsWithoutAttempt++)), requested.service());
        @Nullable OriginLookup lookup = section.lookups().get(question);
        if (lookup == null) {
            lookup = new OriginLookup(question, nowNanos);
            section.lookups().put(question, lookup);
            for (Member member : board.membership().members()) {
                if (member.linked()) {
                    ask(lookup, member.host(), effects);
                }
            }
        }
        lookup.tickets().add(requested.ticket());
        section.addWaitingRequests(1);
    }

    private static OriginAnswer answer(StreamOrigin origin, OriginAnswer.Basis basis) {
        return origin.doubtful() ? new OriginAnswer.Unknown() : new OriginAnswer.Known(origin, basis);
    }

    private static void ask(OriginLookup lookup, HostId peer, Effects effects) {
        lookup.recordAsked(peer);
        effects.add(new PeerEffect.SendToPeer(
                peer,
                new PeerMessage.OriginQuestion(
                        lookup.question().attempt(), lookup.question().service())));
    }

    private static void onPeer(PeerEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case PeerEvent.PeerConnected connected ->
                board.origins().lookups().values().forEach(lookup -> ask(lookup, connected.peer(), effects));
            case PeerEvent.PeerDisconnected disconnected -> {
                for (OriginLookup lookup :
                        new ArrayList<>(board.origins().lookups().values())) {
                    lookup.recordNothingKnown(disconnected.peer());
                    endIfOver(lookup, board, nowNanos, effects);
                }
            }
            case PeerEvent.PeerMessageReceived received -> {
                if (received.message() instanceof PeerMessage.OriginReply reply) {
                    onReply(received.peer(), reply, board, nowNanos, effects);
                }
            }
            case PeerEvent.ContentProgressed ignored -> {}
        }
    }

    private static void onReply(
            HostId peer, PeerMessage.OriginReply reply, Board board, long nowNanos, Effects effects) {
        @Nullable
        OriginLookup lookup =
                board.origins().lookups().get(new OriginLookup.Question(reply.attempt(), reply.service()));
        if (lookup == null || !lookup.recordNothingKnown(peer)) {
            return;
        }
        if (reply.origin().isPresent()) {
            StreamOrigin origin = reply.origin().get();
            board.origins().keep(reply.attempt(), origin, nowNanos, effects);
            decide(
                    lookup,
                    Set.copyOf(lookup.tickets()),
                    answer(origin, OriginAnswer.Basis.RECORD),
                    board,
                    nowNanos,
                    effects);
            return;
        }
        if (reply.leading()) {
            lookup.recordLeaderReply(nowNanos);
            if (reply.listedVersions().size() == 1) {
                StreamOrigin only = new StreamOrigin(
                        reply.service(), reply.listedVersions().iterator().next());
                decide(
                        lookup,
                        ticketsOfOneService(lookup, board),
                        new OriginAnswer.Known(only, OriginAnswer.Basis.SINGLE_VERSION),
                        board,
                        nowNanos,
                        effects);
            }
        }
        endIfOver(lookup, board, nowNanos, effects);
    }

    /** Returns the requests whose route leads to no other service, at which the stream could have begun too. */
    private static Set<Long> ticketsOfOneService(OriginLookup lookup, Board board) {
        Set<Long> tickets = new HashSet<>();
        for (long ticket : lookup.tickets()) {
            boolean oneService = board.forward()
                    .call(ticket)
                    .map(call -> StreamRoutes.services(call.route())
                            .equals(Set.of(lookup.question().service())))
                    .orElse(false);
            if (oneService) {
                tickets.add(ticket);
            }
        }
        return tickets;
    }

    private static void endIfOver(OriginLookup lookup, Board board, long nowNanos, Effects effects) {
        if (lookup.isOver(nowNanos, AFTER_LEADER_NANOS, WITHOUT_LEADER_NANOS)) {
            if (!lookup.leaderReplied()) {
                effects.add(new CountEffect(
                        "origin.lookups_timed_out", lookup.tickets().size()));
            }
            decide(lookup, Set.copyOf(lookup.tickets()), new OriginAnswer.Unknown(), board, nowNanos, effects);
        }
    }

    /** Answers requests that wait for a lookup, which ends with the last of them. */
    private static void decide(
            OriginLookup lookup, Set<Long> tickets, OriginAnswer answer, Board board, long nowNanos, Effects effects) {
        OriginSection section = board.origins();
        lookup.tickets().removeAll(tickets);
        section.addWaitingRequests(-tickets.size());
        if (lookup.tickets().isEmpty()) {
            section.lookups().remove(lookup.question());
        }
        for (long ticket : tickets) {
            Optional<ForwardCall> call = board.forward().call(ticket);
            if (call.isEmpty()) {
                continue;
            }
            effects.post(new ForwardEvent.OriginDecided(ticket, answer));
            String result =
                    switch (answer) {
                        case OriginAnswer.Known known ->
                            known.basis() == OriginAnswer.Basis.SINGLE_VERSION ? "single" : "known";
                        case OriginAnswer.Unknown unknown -> "unknown";
                    };
            effects.count("origin.lookups_" + result);
            effects.log(
                    "origin_lookup",
                    "request",
                    call.get().head().requestId(),
                    "service",
                    lookup.question().service(),
                    "result",
                    result,
                    "millis",
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - lookup.startedNanos()));
        }
    }

    private static void onTick(Board board, long nowNanos, Effects effects) {
        for (OriginLookup lookup : new ArrayList<>(board.origins().lookups().values())) {
            long waiting = lookup.tickets().size();
            lookup.tickets().removeIf(ticket -> board.forward().call(ticket).isEmpty());
            board.origins().addWaitingRequests((int) (lookup.tickets().size() - waiting));
            if (lookup.tickets().isEmpty()) {
                board.origins().lookups().remove(lookup.question());
            } else {
                endIfOver(lookup, board, nowNanos, effects);
            }
        }
    }
}
