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
 * Baseline for measurements: sends each call at once to any available server, without admission queue, limits or ranks.
 * Owned by the thread that drives it; not thread-safe.
 */
final class BaselineController implements Controller {
    private static final int MAXIMUM_ANSWER_BYTES = 1 << 20;
    private static final long SILENCE_LIMIT_MILLIS = 10_000;

    private final ServerSelection selection;
    private final List<CallEntry> waiting = new ArrayList<>();
    private int rotation;

    private BaselineController(ServerSelection selection) {
        this.selection = selection;
    }

    static BaselineController create(ServerSelection selection) {
        return new BaselineController(selection);
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
        ServerEntry server =
                board.retry().awaitsBudget(call.id(), nowNanos) ? null : selectServer(call, board, nowNanos);
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
                streams ? new AnswerHandling.Stream() : new AnswerHandling.Buffer(MAXIMUM_ANSWER_BYTES),
                0,
                call.deadlineNanos(),
                entry.tokensReceived(),
                SILENCE_LIMIT_MILLIS));
    }

    private @Nullable ServerEntry selectServer(Call call, Board board, long nowNanos) {
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
        return switch (selection) {
            case RoundRobin roundRobin -> {
                rotation++;
                yield candidates.get(rotation % candidates.size());
            }
            case LeastLoad leastLoad -> leastLoaded(candidates);
        };
    }

    /** Starts at the next server in rotation, so that servers with equal load take turns. */
    private ServerEntry leastLoaded(List<ServerEntry> candidates) {
        rotation++;
        ServerEntry best = candidates.get(rotation % candidates.size());
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

    /** How a server is selected among those available for a call. */
    sealed interface ServerSelection {}

    /** Selects the servers in rotation. */
    record RoundRobin() implements ServerSelection {}

    /** Selects the server with the least reported load; servers with equal load take turns. */
    record LeastLoad() implements ServerSelection {}
}
