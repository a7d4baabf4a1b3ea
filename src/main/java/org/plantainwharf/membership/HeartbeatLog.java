package org.plantainwharf.membership;

import java.util.Optional;

/**
 * Tokens of this host's recent heartbeats with their send times. A statement of another host that echoes a token was
 * made after that host received it, so validity counted from the send time never ends too late, however long the
 * statement was delayed. Owned by the control thread.
 */
final class HeartbeatLog {
    /** Eight seconds of heartbeats; nothing that is dated by tokens stays valid for longer. */
    static final int CAPACITY = 32;

    private final long[] sentNanos = new long[CAPACITY];
    private final long firstToken;
    private long nextToken;

    private HeartbeatLog(long firstToken) {
        this.firstToken = firstToken;
        this.nextToken = firstToken;
    }

    /**
     * Returns an empty log.
     *
     * @param firstToken drawn at random at each start of the process, so that an echo of a token from before a restart
     *     is not taken for a token of this process
     */
    static HeartbeatLog startingAt(long firstToken) {
        return new HeartbeatLog(firstToken);
    }

    /** Records a heartbeat that is about to be sent and returns its token. */
    long next(long nowNanos) {
        long token = nextToken++;
        sentNanos[slot(token)] = nowNanos;
        return token;
    }

    /** Returns when the heartbeat with this token was sent, unless it is unknown or too old. */
    Optional<Long> sentNanos(long token) {
        boolean kept = token >= firstToken && token < nextToken && token >= nextToken - CAPACITY;
        return kept ? Optional.of(sentNanos[slot(token)]) : Optional.empty();
    }

    private static int slot(long token) {
        return (int) Math.floorMod(token, (long) CAPACITY);
    }
}
