package org.plantainwharf.server;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** What the server controller keeps of one server besides its entry. Owned by the control thread. */
final class ServerTracker {
    /** A server announces itself about once a second to each host it knows, so eight tokens cover more than a lease. */
    private static final int MAXIMUM_TOKENS = 8;

    private record IssuedToken(long value, long incarnation, long issuedNanos) {}

    private final Deque<IssuedToken> tokens = new ArrayDeque<>(MAXIMUM_TOKENS);
    private long lastStatementNanos;
    private long lastChange;
    private long leavingNanos;
    private int connectFailures;

    private ServerTracker(long nowNanos) {
        lastStatementNanos = nowNanos;
    }

    static ServerTracker create(long nowNanos) {
        return new ServerTracker(nowNanos);
    }

    /** Records a token that an incarnation of the server gets in the answer to its announcement. */
    void recordToken(long token, long incarnation, long nowNanos) {
        if (tokens.size() == MAXIMUM_TOKENS) {
            tokens.removeFirst();
        }
        tokens.addLast(new IssuedToken(token, incarnation, nowNanos));
    }

    /** Returns when a token was issued to an incarnation of the server, unless it is unknown or too old. */
    Optional<Long> tokenIssuedNanos(long token, long incarnation) {
        for (IssuedToken candidate : tokens) {
            if (candidate.value() == token && candidate.incarnation() == incarnation) {
                return Optional.of(candidate.issuedNanos());
            }
        }
        return Optional.empty();
    }

    long lastStatementNanos() {
        return lastStatementNanos;
    }

    void recordStatement(long nowNanos) {
        lastStatementNanos = nowNanos;
    }

    /** Returns the number of the newest change that this host learned at first hand, 0 for none. */
    long lastChange() {
        return lastChange;
    }

    /** Records a change learned at first hand, which is to be relayed. */
    void recordChange(long number) {
        lastChange = number;
    }

    /** Returns when this host learned at first hand that the server is leaving; meaningless otherwise. */
    long leavingNanos() {
        return leavingNanos;
    }

    void recordLeaving(long nowNanos) {
        leavingNanos = nowNanos;
    }

    /** Counts a connection that could not be opened and returns the number since the last success. */
    int recordConnectFailure() {
        connectFailures++;
        return connectFailures;
    }

    void recordConnectSuccess() {
        connectFailures = 0;
    }
}
