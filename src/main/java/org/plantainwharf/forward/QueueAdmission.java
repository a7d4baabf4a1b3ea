package org.plantainwharf.forward;

import org.plantainwharf.board.Board;

/**
 * Refuses requests that no engine would begin in time. A queue at the engines makes every request late, and what waits
 * there can no longer go elsewhere; a request that is refused at once can return while its answer still counts. Engines
 * begin urgent requests first, so requests of the most urgent priority may find a longer queue. The length of a request's
 * own prompt does not count, so long prompts are not singled out. Stateless.
 */
final class QueueAdmission {
    /** Longest queue that requests of the most urgent priority may find, in target latencies of their route. */
    private static final double MOST_URGENT_QUEUE_TARGETS = 1.5;

    /** Longest queue that other requests may find, in target latencies of their route. */
    private static final double QUEUE_TARGETS = 0.4;

    /** Earliest time to return, in target latencies; a caller that returns later than its target is late anyway. */
    private static final double RETURN_TARGETS = 0.3;

    private QueueAdmission() {}

    /** Returns whether the selected server will probably begin the request in time. */
    static boolean admits(
            ForwardCall call, int priority, ServerSelector.Candidate selected, Board board, long nowNanos) {
        if (call.head().prompt().isEmpty() || call.attempts() > 0) {
            return true;
        }
        EngineProfile profile = board.forward().engineProfile(call.service());
        double targets = priority <= profile.mostUrgentPriority(nowNanos) ? MOST_URGENT_QUEUE_TARGETS : QUEUE_TARGETS;
        return selected.statistics().queueMillis(profile, nowNanos)
                <= targets * call.route().targetLatencyMillis();
    }

    /** Returns when a refused caller should return. The times are spread, so that callers do not return together. */
    static long returnMillis(ForwardCall call, Board board) {
        double targets = RETURN_TARGETS * (1 + board.random().nextDouble());
        return (long) (targets * call.route().targetLatencyMillis());
    }
}
