package org.plantainwharf.duty;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
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
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;

/**
 * Makes the leader of the control group the duty holder. The leader commits a request for a fencing number once per
 * term and holds the duties after a pause from the time the number is committed. It gives them up when it loses the
 * leadership, when the cloud API reports a higher number, and when it finds that it stood still, until the group commits
 * its number again. Runs on the control thread.
 */
public final class FencingController implements Controller {
    private static final int CONTROL_GROUP = 0;

    /** The number of the first holder. */
    private static final long FIRST_NUMBER = 1;

    /**
     * Time without a tick after which this daemon counts as paused. Ticks are 50 ms apart, and a leader that is silent
     * for longer may have been replaced.
     */
    private static final long PAUSE_MILLIS = 700;

    private final long takeoverPauseNanos;
    private long lastTickNanos;
    private long lastTickWallMillis;
    private boolean ticked;
    private Optional<CommittedNumber> committed = Optional.empty();
    private long leadingTerm;
    private boolean requested;
    private int takings;
    private long releasedNumber;

    /** A number under which this daemon will hold the duties once the pause has passed. Immutable. */
    private record CommittedNumber(long number, long holdFromNanos) {}

    private FencingController(long takeoverPauseMillis) {
        this.takeoverPauseNanos = TimeUnit.MILLISECONDS.toNanos(takeoverPauseMillis);
    }

    /**
     * Creates the controller.
     *
     * @param takeoverPauseMillis time from the commitment of a number until its holder acts. The provider considers
     *     duties violated if two holders act in turn within its lease: the pause keeps the acts of successive holders that
     *     far apart, also when the leadership returns to an earlier one.
     */
    public static FencingController create(long takeoverPauseMillis) {
        return new FencingController(takeoverPauseMillis);
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent replication -> onReplication(replication, board, nowNanos, effects);
            case TimerEvent.Tick tick -> {
                releaseAfterPause(board, nowNanos, effects);
                requestFencingNumber(board, effects);
                holdIfDue(board, nowNanos, effects);
            }
            case DutyEvent duty -> onDuty(duty, board, effects);
            case ForwardEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case PeerEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private void onReplication(ReplicationEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent.LeadershipChanged changed -> {
                if (changed.group() == CONTROL_GROUP) {
                    leadingTerm = changed.leading() ? changed.term() : 0;
                    requested = false;
                    committed = Optional.empty();
                    board.duties().clearFencingNumber();
                    effects.log("leadership_changed", "term", changed.term(), "leading", changed.leading());
                    requestFencingNumber(board, effects);
                }
            }
            case ReplicationEvent.ProposalDecided decided -> {
                if (decided.proposalId().equals(proposalId(board))
                        && decided.result() instanceof CommandResult.FencingNumber number
                        && leadingTerm != 0) {
                    // Nobody else can have acted before the first number, or since one that is committed again.
                    boolean alone = number.number() == FIRST_NUMBER || number.number() == releasedNumber;
                    long pauseNanos = alone ? 0 : takeoverPauseNanos;
                    committed = Optional.of(new CommittedNumber(number.number(), nowNanos + pauseNanos));
                    holdIfDue(board, nowNanos, effects);
                }
            }
            case ReplicationEvent.ProposalFailed failed -> {
                if (failed.proposalId().equals(proposalId(board))) {
                    requested = false;
                }
            }
            case ReplicationEvent.ProposalRequested ignored -> {}
            case ReplicationEvent.QueryRequested ignored -> {}
            case ReplicationEvent.QueryAnswered ignored -> {}
            case ReplicationEvent.QueryFailed ignored -> {}
            case ReplicationEvent.EntryApplied ignored -> {}
            case ReplicationEvent.StateReplaced ignored -> {}
        }
    }

    /**
     * Gives up the duties after a pause of this process or host, before any other controller acts on the tick. The
     * number is held again only once the group commits it, which it does not for a replaced leader. The monotonic
     * clock stands still while a host is suspended, so the time of day is compared too.
     */
    private void releaseAfterPause(Board board, long nowNanos, Effects effects) {
        long pausedMillis = Math.max(
                TimeUnit.NANOSECONDS.toMillis(nowNanos - lastTickNanos), board.wallClockMillis() - lastTickWallMillis);
        boolean paused = ticked && pausedMillis >= PAUSE_MILLIS;
        ticked = true;
        lastTickNanos = nowNanos;
        lastTickWallMillis = board.wallClockMillis();
        if (paused && (board.duties().fencingNumber().isPresent() || committed.isPresent())) {
            effects.log("duties_released_after_pause", "paused_ms", pausedMillis);
            effects.count("duties.released_after_pause");
            releasedNumber = board.duties().fencingNumber().orElse(releasedNumber);
            committed = Optional.empty();
            requested = false;
            takings++;
            board.duties().clearFencingNumber();
        }
    }

    private void holdIfDue(Board board, long nowNanos, Effects effects) {
        committed.filter(due -> nowNanos - due.holdFromNanos() >= 0).ifPresent(due -> {
            committed = Optional.empty();
            board.duties().setFencingNumber(due.number());
            effects.log("duties_taken", "fencing", due.number(), "term", leadingTerm);
        });
    }

    private void requestFencingNumber(Board board, Effects effects) {
        if (leadingTerm != 0 && !requested) {
            requested = true;
            effects.post(new ReplicationEvent.ProposalRequested(
                    proposalId(board),
                    CONTROL_GROUP,
                    new Command.TakeFencingNumber(board.membership().self(), leadingTerm)));
        }
    }

    private String proposalId(Board board) {
        return "fencing/" + board.membership().self() + "/" + board.membership().incarnation() + "/" + leadingTerm + "/"
                + takings;
    }

    /**
     * Gives up the duties when a usage report is answered with a conflict. The cloud API fences all usage windows
     * together, so such a conflict means that another daemon is the duty holder.
     */
    private static void onDuty(DutyEvent event, Board board, Effects effects) {
        if (event instanceof DutyEvent.UsageAnswered answered
                && answered.answer() == ProviderAnswer.CONFLICT
                && board.duties().fencingNumber().orElse(-1) == answered.fencingNumber()) {
            effects.log("duties_lost", "fencing", answered.fencingNumber());
            board.duties().clearFencingNumber();
        }
    }
}
