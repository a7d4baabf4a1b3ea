package org.plantainwharf.server;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * State of one server that only the server controller uses: issued tokens, changes to be relayed and failed
 * connections. Owned by the control thread.
 */
final class ServerTracker {
    /** A server announces itself to each known host about once a second, so eight tokens cover more than a lease. */
    private static final int MAXIMUM_TOKENS = 8;

    private record IssuedToken(long value, long incarnation, long issuedNanos) {}

    private final Deque<IssuedToken> tokens = new ArrayDeque<>(MAXIMUM_TOKENS);
    private long lastAnnouncementNanos;
    private long lastChange;
    private long leavingNanos;
    private int connectFailures;

    private ServerTracker(long nowNanos) {
        lastAnnouncementNanos = nowNanos;
    }

    static ServerTracker create(long nowNanos) {
        return new ServerTracker(nowNanos);
    }

    /** Records a token that is sent to an incarnation of the server in the answer to its announcement. */
    void recordToken(long token, long incarnation, long nowNanos) {
        if (tokens.size() == MAXIMUM_TOKENS) {
            tokens.removeFirst();
        }
        tokens.addLast(new IssuedToken(token, incarnation, nowNanos));
    }

    /** Returns when a token was issued to an incarnation of the server, or empty if it is unknown or too old. */
    Optional<Long> tokenIssuedNanos(long token, long incarnation) {
        for (IssuedToken candidate : tokens) {
            if (candidate.value() == token && candidate.incarnation() == incarnation) {
                return Optional.of(candidate.issuedNanos());
            }
        }
        return Optional.empty();
    }

    long lastAnnouncementNanos() {
        return lastAnnouncementNanos;
    }

    void recordAnnouncement(long nowNanos) {
        lastAnnouncementNanos = nowNanos;
    }

    /** Returns the number of the newest change that this host learned directly, 0 for none. */
    long lastChange() {
        return lastChange;
    }

    /** Records a change that this host learned directly and that is to be relayed. */
    void recordChange(long number) {
        lastChange = number;
    }

    /** Returns when this host last learned directly that the server is leaving; meaningless for other servers. */
    long leavingNanos() {
        return leavingNanos;
    }

    void recordLeaving(long nowNanos) {
        leavingNanos = nowNanos;
    }

    /** Records a connection that could not be opened, and returns the number of these since the last success. */
    int recordConnectFailure() {
        connectFailures++;
        return connectFailures;
    }

    void recordConnectSuccess() {
        connectFailures = 0;
    }
}
