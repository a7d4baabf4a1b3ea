package org.plantainwharf.duty;

import java.util.ArrayList;
import java.util.List;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.DutyEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.testing.Samples;

/**
 * Runs duty controllers on simulated clocks. Proposals are collected until the test decides or fails them. Used by one
 * thread.
 */
final class DutyHarness {
    private final Board board;
    private final ControlCycle cycle;
    private final List<ReplicationEvent.ProposalRequested> proposals = new ArrayList<>();
    private long nowMillis = 1_000_000;
    private long wallMillis = 1_700_000_000_000L;

    DutyHarness(String host, List<Controller> controllers) {
        Settings settings = Samples.settings(host);
        this.board = Board.create(settings, 1, 7);
        List<Controller> all = new ArrayList<>(controllers);
        all.add((event, seen, nowNanos, effects) -> {
            if (event instanceof ReplicationEvent.ProposalRequested requested) {
                proposals.add(requested);
            }
        });
        this.cycle = ControlCycle.create(board, all);
    }

    Board board() {
        return board;
    }

    List<DutyEffect> run(Event event) {
        List<DutyEffect> effects = new ArrayList<>();
        for (Effect effect : cycle.run(event, nowMillis * 1_000_000, wallMillis)) {
            if (effect instanceof DutyEffect duty) {
                effects.add(duty);
            }
        }
        return effects;
    }

    List<DutyEffect> tick() {
        return run(new TimerEvent.Tick());
    }

    void advanceTime(long millis) {
        nowMillis += millis;
        wallMillis += millis;
    }

    /** Advances the time of day only, as on a host that was suspended. */
    void advanceWallClock(long millis) {
        wallMillis += millis;
    }

    long wallMillis() {
        return wallMillis;
    }

    void becomeLeader(long term) {
        run(new ReplicationEvent.LeadershipChanged(0, term, true));
    }

    void becomeFollower(long term) {
        run(new ReplicationEvent.LeadershipChanged(0, term, false));
    }

    /** Returns the proposals made since the last call. */
    List<ReplicationEvent.ProposalRequested> takeProposals() {
        List<ReplicationEvent.ProposalRequested> taken = List.copyOf(proposals);
        proposals.clear();
        return taken;
    }

    /** Applies a proposal to the replicated state of the board and delivers the result. */
    List<DutyEffect> decide(ReplicationEvent.ProposalRequested proposal) {
        Command command = proposal.command();
        CommandResult result = board.configuration().state().apply(command);
        return run(new ReplicationEvent.ProposalDecided(proposal.proposalId(), result));
    }
}
