package org.plantainwharf.bench;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.CallState;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.AnswerHandling;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.server.ServerEntry;

/**
 * The baseline for measurements: sends every call at once, without queue, limit or rank. Owned by the thread that
 * drives it.
 */
final class ForwardController implements Controller {
    private static final int MAXIMUM_ANSWER_BYTES = 1 << 20;
    private static final long SILENCE_MILLIS = 10_000;

    private final Choice choice;
    private final List<CallEntry> waiting = new ArrayList<>();
    private int turn;

    private ForwardController(Choice choice) {
        this.choice = choice;
    }

    static ForwardController create(Choice choice) {
        return new ForwardController(choice);
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        if (event instanceof CallEvent.CallArrived arrived) {
            waiting.add(board.calls().add(arrived.call()));
        }
        for (CallEntry entry = board.calls().pollReady();
                entry != null;
                entry = board.calls().pollReady()) {
            waiting.add(entry);
        }
        if (!waiting.isEmpty()) {
            List<CallEntry> entries = List.copyOf(waiting);
            waiting.clear();
            entries.forEach(entry -> forward(entry, board, nowNanos, effects));
        }
    }

    private void forward(CallEntry entry, Board board, long nowNanos, Effects effects) {
        Call call = entry.call();
        if (board.calls().call(call.id()).isEmpty()) {
            return;
        }
        ServerEntry server = board.retry().holds(call.id(), nowNanos) ? null : choose(call, board, nowNanos);
        if (server == null) {
            waiting.add(entry);
            return;
        }
        AttemptId attempt = entry.nextAttempt();
        board.calls().advance(entry, new CallState.Running(attempt, server.server(), nowNanos));
        boolean streams = call.kind() instanceof CallKind.Model;
        effects.add(new AttemptEffect.StartAttempt(
                attempt,
                call,
                server.server(),
                server.announcement().address(),
                streams ? new AnswerHandling.Stream() : new AnswerHandling.Collect(MAXIMUM_ANSWER_BYTES),
                0,
                call.deadlineNanos(),
                entry.tokensReceived(),
                SILENCE_MILLIS));
    }

    private @Nullable ServerEntry choose(Call call, Board board, long nowNanos) {
        List<ServerEntry> candidates = new ArrayList<>();
        for (ServerEntry server : board.servers().servers()) {
            if (server.serves(call.kind())
                    && server.acceptsNewWork(nowNanos)
                    && !board.retry().avoids(call.id(), server.server(), nowNanos)) {
                candidates.add(server);
            }
        }
        if (candidates.isEmpty()) {
            return null;
        }
        return switch (choice) {
            case InTurn inTurn -> {
                turn++;
                yield candidates.get(turn % candidates.size());
            }
            case LeastLoad least -> least(candidates);
        };
    }

    private ServerEntry least(List<ServerEntry> candidates) {
        turn++;
        ServerEntry best = candidates.get(turn % candidates.size());
        for (ServerEntry server : candidates) {
            if (load(server) < load(best)) {
                best = server;
            }
        }
        return best;
    }

    private static int load(ServerEntry server) {
        return server.announcement().load().running()
                + server.announcement().load().queued();
    }

    /** How the baseline chooses a server. */
    sealed interface Choice {}

    /** Each in turn. */
    record InTurn() implements Choice {}

    /** The one with the least reported load; equal ones in turn. */
    record LeastLoad() implements Choice {}
}
