package org.plantainwharf.server;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** What the server controller keeps of one server besides its entry. Owned by the control thread. */
final class ServerTrack {
    /** A server announces itself about once a second to each host it knows, so eight tokens cover more than a lease. */
    private static final int TOKENS_KEPT = 8;

    private record Token(long value, long incarnation, long issuedNanos) {}

    private final Deque<Token> tokens = new ArrayDeque<>(TOKENS_KEPT);
    private long lastHeardNanos;
    private long change;
    private long leavingNanos;
    private int connectFailures;

    private ServerTrack(long nowNanos) {
        lastHeardNanos = nowNanos;
    }

    static ServerTrack create(long nowNanos) {
        return new ServerTrack(nowNanos);
    }

    /** Records a token that an incarnation of the server gets in the answer to its announcement. */
    void issued(long token, long incarnation, long nowNanos) {
        if (tokens.size() == TOKENS_KEPT) {
            tokens.removeFirst();
        }
        tokens.addLast(new Token(token, incarnation, nowNanos));
    }

    /** Returns when a token was issued to an incarnation of the server, unless it is unknown or too old. */
    Optional<Long> issuedNanos(long token, long incarnation) {
        for (Token kept : tokens) {
            if (kept.value() == token && kept.incarnation() == incarnation) {
                return Optional.of(kept.issuedNanos());
            }
        }
        return Optional.empty();
    }

    long lastHeardNanos() {
        return lastHeardNanos;
    }

    void heard(long nowNanos) {
        lastHeardNanos = nowNanos;
    }

    /** Returns the number of the newest change that this host learned at first hand, 0 for none. */
    long change() {
        return change;
    }

    /** Records a change learned at first hand, which is to be relayed. */
    void changed(long number) {
        change = number;
    }

    /** Returns when this host learned at first hand that the server is leaving; meaningless otherwise. */
    long leavingNanos() {
        return leavingNanos;
    }

    void leaving(long nowNanos) {
        leavingNanos = nowNanos;
    }

    /** Counts a connection that could not be opened and returns the number since the last success. */
    int connectFailed() {
        connectFailures++;
        return connectFailures;
    }

    void connectionWorked() {
        connectFailures = 0;
    }
}
