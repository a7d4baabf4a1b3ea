package org.plantainwharf.forward;

import java.util.Locale;

import org.plantainwharf.board.Board;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.error.Failure;
import org.plantainwharf.registry.KnownServer;

/**
 * Counts what became of requests by their kind, that is by service and priority, so that a kind that is served too little
 * stands out, together with the reason. Counters are {@code forward.kind.SERVICE.PRIORITY.RESULT}; those of a daemon are of
 * its zone. A request that was handed over counts only at the daemon to which its caller sent it. Used by the forward controller on the control thread. Stateless.
 */
final class KindTally {
    private KindTally() {}

    /** Where a refused request would have found a free place. */
    enum Room {
        /** At a server of this zone. */
        NEAR,
        /** At a server of another zone only. */
        FAR,
        /** Only at servers that are avoided because of failures or overdue answers. */
        AVOIDED,
        /** Only at servers that have requested a pause or get as many requests as they accept. */
        LIMITED,
        /** Nowhere. */
        NONE;

        String code() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    static void arrived(ForwardCall call, Effects effects) {
        count(call, "asked", effects);
    }

    /** Counts a first attempt that begins after much of the target has passed in this daemon. */
    static void sent(ForwardCall call, long nowNanos, Effects effects) {
        if (call.attempts() == 1
                && 2 * elapsedMillis(call, nowNanos) > call.route().targetLatencyMillis()) {
            count(call, "sent_late", effects);
        }
    }

    static void answered(ForwardCall call, long nowNanos, Effects effects) {
        boolean inTarget = elapsedMillis(call, nowNanos) <= call.route().targetLatencyMillis();
        count(call, inTarget ? "in_target" : "late", effects);
    }

    /** Counts a request that this system ends without an answer of a server; returns where there was room for it. */
    static Room failed(ForwardCall call, Failure failure, Board board, long nowNanos, Effects effects) {
        Room room = room(call, board, nowNanos);
        count(call, "failed." + failure.kind().code(), effects);
        if (room != Room.NONE) {
            count(call, "failed_with_room." + room.code(), effects);
        }
        return room;
    }

    private static Room room(ForwardCall call, Board board, long nowNanos) {
        Room best = Room.NONE;
        for (KnownServer server : board.registry().readyServers(call.service())) {
            Room here = room(server, board, nowNanos);
            best = here.compareTo(best) < 0 ? here : best;
            if (best == Room.NEAR) {
                break;
            }
        }
        return best;
    }

    private static Room room(KnownServer server, Board board, long nowNanos) {
        ServerStatistics statistics = board.forward().statistics(server.report(), board.observations());
        if (!statistics.hasFreePlace(Math.max(1, server.report().slots()), nowNanos)) {
            return Room.NONE;
        }
        if (!board.serverLimits().permits(server.report(), nowNanos)) {
            return Room.LIMITED;
        }
        if (statistics.isAvoided(nowNanos)) {
            return Room.AVOIDED;
        }
        return server.report().zone().equals(board.membership().zone()) ? Room.NEAR : Room.FAR;
    }

    private static long elapsedMillis(ForwardCall call, long nowNanos) {
        return (nowNanos - call.admission().arrivedNanos()) / 1_000_000;
    }

    private static void count(ForwardCall call, String result, Effects effects) {
        if (!call.head().handedOver()) {
            effects.count("forward.kind." + call.service() + "." + call.effectivePriority() + "." + result);
        }
    }
}
