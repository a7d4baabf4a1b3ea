package org.plantainwharf.consensus;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.ProcessEffect;
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
 * Stops the process with a delay after a failed disk write. The content of the disk is unknown after the failure, so
 * the voter stops voting; a restarted process recovers from the disk and votes again once writes succeed. Runs on the
 * control thread.
 */
public final class FailedDiskController implements Controller {
    /**
     * Time from the failed write to the exit. A full or failing disk stays so for seconds, so an immediate restart
     * would hit the same failure.
     */
    private static final long RESTART_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    private OptionalLong failedNanos = OptionalLong.empty();

    private FailedDiskController() {}

    /** Returns a controller that has not seen a failed write. */
    public static FailedDiskController create() {
        return new FailedDiskController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case StorageEvent.WriteFailed failed -> {
                if (failedNanos.isEmpty()) {
                    failedNanos = OptionalLong.of(nowNanos);
                    effects.log("disk_failed", "group", failed.group(), "problem", failed.reason());
                }
            }
            case StorageEvent ignored -> {}
            case TimerEvent.Tick tick -> {
                if (failedNanos.isPresent() && nowNanos - failedNanos.getAsLong() >= RESTART_DELAY_NANOS) {
                    effects.log("restart_after_disk_failure", "after_ms", RESTART_DELAY_NANOS / 1_000_000);
                    effects.add(new ProcessEffect.ExitGracefully());
                    failedNanos = OptionalLong.empty();
                }
            }
            case PeerEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case DutyEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ReplicationEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }
}
