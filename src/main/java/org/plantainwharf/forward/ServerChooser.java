package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.plantainwharf.board.Board;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.registry.KnownServer;
import org.plantainwharf.registry.ServerReport;

/**
 * Chooses the server of a request among those that are ready, within the request limits that servers name. Used by the
 * forward controller on the control thread. Stateless.
 */
final class ServerChooser {
    /** A server whose last report is older than this is selected only if no other server is available. */
    private static final long REPORT_STALE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);

    /** Time after the end of a pause within which the callers that were refused in it return. */
    private static final long MAXIMUM_SPREAD_MILLIS = 4_000;

    private ServerChooser() {}

    /**
     * Returns the ready servers that were not tried yet and whose software version may run the request. Servers that are
     * avoided or have not reported lately are included only if there are no others.
     */
    static List<ServerSelector.Candidate> candidates(ForwardCall call, Board board, long nowNanos) {
        return RolloutChoice.candidates(call, board, nowNanos);
    }

    /** Returns those of these servers that also satisfy a condition. */
    static List<ServerSelector.Candidate> candidates(
            ForwardCall call, Predicate<ServerReport> condition, Board board, long nowNanos) {
        List<ServerSelector.Candidate> healthy = new ArrayList<>();
        List<ServerSelector.Candidate> fallback = new ArrayList<>();
        StreamVersions versions = StreamVersions.of(call, board);
        for (KnownServer server : board.registry().readyServers(call.service())) {
            if (call.triedServers().contains(server.report().server())
                    || !versions.permits(server.report())
                    || !condition.test(server.report())) {
                continue;
            }
            ServerStatistics statistics = board.forward().statistics(server.report(), board.observations());
            if (call.origin().isPresent() && !statistics.isReportedSinceConnectionLost(server.lastReportNanos())) {
                // It may have started again with another version that it has not reported yet.
                continue;
            }
            boolean isFallback =
                    statistics.isAvoided(nowNanos) || server.nanosSinceLastReport(nowNanos) >= REPORT_STALE_NANOS;
            (isFallback ? fallback : healthy).add(new ServerSelector.Candidate(server, statistics));
        }
        return healthy.isEmpty() ? fallback : healthy;
    }

    /** Returns whether there is a server that this daemon may send the request now. */
    static boolean canChoose(ForwardCall call, Board board, long nowNanos) {
        return candidates(call, board, nowNanos).stream().anyMatch(candidate -> board.serverLimits()
                .permits(candidate.server().report(), nowNanos));
    }

    /** Selects the best server; if it has reached its request limit, the best of those that have not. */
    static Optional<ServerSelector.Candidate> choose(
            ForwardCall call, List<ServerSelector.Candidate> candidates, Board board, long nowNanos) {
        Set<ServerId> longPromptServers = longPromptServers(call, candidates, board);
        Optional<ServerSelector.Candidate> best = select(call, candidates, longPromptServers, board, nowNanos);
        best.ifPresent(candidate -> board.serverLimits().recordWanted(candidate.id()));
        if (best.isEmpty() || board.serverLimits().permits(best.get().server().report(), nowNanos)) {
            return best;
        }
        List<ServerSelector.Candidate> permitted = candidates.stream()
                .filter(candidate ->
                        board.serverLimits().permits(candidate.server().report(), nowNanos))
                .toList();
        if (permitted.isEmpty()) {
            candidates.forEach(candidate -> board.serverLimits().recordWanted(candidate.id()));
            return Optional.empty();
        }
        Optional<ServerSelector.Candidate> next = select(call, permitted, longPromptServers, board, nowNanos);
        next.ifPresent(candidate -> board.serverLimits().recordWanted(candidate.id()));
        return next;
    }

    private static Optional<ServerSelector.Candidate> select(
            ForwardCall call,
            List<ServerSelector.Candidate> candidates,
            Set<ServerId> longPromptServers,
            Board board,
            long nowNanos) {
        return ServerSelector.select(
                candidates,
                KeptPartEstimate.of(call, board),
                longPromptServers,
                board.forward().engineProfile(call.service()),
                board.membership().zone(),
                () -> board.random().nextDouble(),
                nowNanos);
    }

    /**
     * Returns when a caller should return for whom no server accepts another request now. Callers get times one after
     * the other, at the rate at which the servers accept requests, so that they do not all return for the same one.
     */
    static long returnMillis(ForwardCall call, List<ServerSelector.Candidate> candidates, Board board, long nowNanos) {
        long untilPermitted = candidates.stream()
                .mapToLong(candidate -> board.serverLimits()
                        .millisUntilPermitted(candidate.server().report(), nowNanos))
                .min()
                .orElse(RetryAfter.MAXIMUM_MILLIS);
        double ratePerSecond = candidates.stream()
                .mapToDouble(candidate -> board.serverLimits().ratePerSecond(candidate.id()))
                .sum();
        return board.forward()
                .reserveReturn(call.service(), untilPermitted, ratePerSecond, RetryAfter.MAXIMUM_MILLIS, nowNanos);
    }

    /**
     * Returns when a caller should return if every server of its service has requested a pause; empty if one has not.
     * Callers get times one after the other from the end of the first pause on, as if each slot of the servers took one
     * a second, so that the pauses do not end with a burst.
     */
    static OptionalLong returnMillisAfterPauses(ForwardCall call, Board board, long nowNanos) {
        long firstEnd = Long.MAX_VALUE;
        long slots = 0;
        for (KnownServer server : board.registry().readyServers(call.service())) {
            firstEnd = Math.min(firstEnd, board.serverLimits().pauseMillis(server.report(), nowNanos));
            slots += Math.max(1, server.report().slots());
        }
        return slots == 0 || firstEnd == 0
                ? OptionalLong.empty()
                : OptionalLong.of(board.forward()
                        .reserveReturn(call.service(), firstEnd, slots, firstEnd + MAXIMUM_SPREAD_MILLIS, nowNanos));
    }

    private static Set<ServerId> longPromptServers(
            ForwardCall call, List<ServerSelector.Candidate> candidates, Board board) {
        return call.head().prompt().isEmpty()
                ? Set.of()
                : board.forward()
                        .longPromptPool(call.service())
                        .members(candidates.stream()
                                .map(candidate -> candidate.server().report().server())
                                .toList());
    }
}
