package org.plantainwharf.drain;

import java.time.Duration;
import java.util.ArrayList;

import io.vavr.control.Either;
import org.plantainwharf.board.Board;
import org.plantainwharf.board.CallCompletion;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.CallState;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.OperatorEffect;
import org.plantainwharf.effect.ProcessEffect;
import org.plantainwharf.error.ErrorKind;
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

/**
 * Drains the daemon and stops it without interrupting requests. First the health check fails while calls are still
 * accepted, until the load balancer has noticed. Then new calls are refused, and the daemon exits when the last running
 * call has ended and every record is committed. Other controllers hand over accepted work and leadership when the phase
 * changes. Runs on the control thread.
 */
public final class DrainController implements Controller {
    /** Time after the drain limit for the remaining records to be committed; then the daemon exits in any case. */
    private static final long COMMIT_GRACE_NANOS = Duration.ofSeconds(10).toNanos();

    private DrainController() {}

    public static DrainController create() {
        return new DrainController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case OperatorEvent.DrainRequested requested -> onDrainRequested(requested, board, nowNanos, effects);
            case OperatorEvent.SheetSubmitted ignored -> {}
            case PlatformEvent.HostReclaimNoticed noticed -> {
                if (noticed.host().equals(board.membership().self())) {
                    startDrain(board, nowNanos, effects);
                }
            }
            case TimerEvent timer -> advancePhase(board, nowNanos, effects);
            case PlatformEvent.ServerReclaimNoticed ignored -> {}
            case PlatformEvent.HostStarted ignored -> {}
            case PlatformEvent.HostStartRefused ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case PeerEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent ignored -> {}
            case StorageEvent ignored -> {}
            case ReplicationEvent ignored -> {}
        }
    }

    /** Answers an operator whose order could not be handled. */
    @Override
    public void recover(Event event, Board board, long nowNanos, Effects effects) {
        if (event instanceof OperatorEvent.DrainRequested requested && requested.ticket() != 0) {
            effects.add(new OperatorEffect.AnswerOperator(
                    requested.ticket(), Either.left(Failure.of(ErrorKind.INTERNAL_ERROR))));
        }
    }

    private static void onDrainRequested(
            OperatorEvent.DrainRequested requested, Board board, long nowNanos, Effects effects) {
        startDrain(board, nowNanos, effects);
        if (requested.ticket() != 0) {
            effects.add(new OperatorEffect.AnswerOperator(requested.ticket(), Either.right("drain started")));
        }
    }

    private static void startDrain(Board board, long nowNanos, Effects effects) {
        if (board.drain().phase() instanceof DrainPhase.Serving) {
            board.drain().enter(new DrainPhase.Announcing(nowNanos));
            effects.count("drain.started");
        }
    }

    private static void advancePhase(Board board, long nowNanos, Effects effects) {
        switch (board.drain().phase()) {
            case DrainPhase.Serving serving -> {}
            case DrainPhase.Finished finished -> {}
            case DrainPhase.Announcing announcing -> {
                long notice = Duration.ofMillis(board.settings().timings().drainNoticeMillis())
                        .toNanos();
                if (nowNanos - announcing.sinceNanos() >= notice) {
                    board.drain().enter(new DrainPhase.Finishing(nowNanos));
                }
            }
            case DrainPhase.Finishing finishing -> finishIfIdle(finishing, board, nowNanos, effects);
        }
    }

    private static void finishIfIdle(DrainPhase.Finishing finishing, Board board, long nowNanos, Effects effects) {
        long limit =
                Duration.ofMillis(board.settings().timings().drainLimitMillis()).toNanos();
        long elapsed = nowNanos - finishing.sinceNanos();
        boolean idle = board.calls().size() == 0
                && board.forward().calls().isEmpty()
                && !board.records().hasUnsettledProposals();
        if (idle || elapsed >= limit + COMMIT_GRACE_NANOS) {
            board.drain().enter(new DrainPhase.Finished());
            effects.add(new ProcessEffect.ExitGracefully());
        } else if (elapsed >= limit) {
            failRepeatableCalls(board, effects);
        }
    }

    /**
     * Fails calls that exceed the drain limit with {@link ErrorKind#DRAINING}. Orders are left to run until their
     * outcome is known.
     */
    private static void failRepeatableCalls(Board board, Effects effects) {
        for (CallEntry entry : new ArrayList<>(board.calls().calls())) {
            if (!(entry.call().kind() instanceof CallKind.Order)) {
                if (entry.state() instanceof CallState.Running running) {
                    effects.add(new AttemptEffect.CancelAttempt(running.attempt()));
                }
                effects.count("drain.limit_exceeded");
                CallCompletion.fail(board, effects, entry, Failure.of(ErrorKind.DRAINING));
            }
        }
    }
}
