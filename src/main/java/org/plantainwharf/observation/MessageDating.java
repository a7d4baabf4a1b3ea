package org.plantainwharf.observation;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.identity.HostId;

/**
 * Dates messages of other daemons. Only ages pass between hosts, so a message that was late or is repeated would look newer
 * than it is. A message that is not later in its sender's sequence than the last one is not used, and neither is one that
 * echoes no heartbeat of this host, which bounds when it was sent. Owned by the control thread.
 */
public final class MessageDating {
    /** Heartbeats are 250 ms apart and wait for a tick of 50 ms at either end, so a punctual message echoes one this old. */
    private static final long PUNCTUAL_ECHO_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    private final Map<HostId, Newest> newest = new HashMap<>();

    private record Newest(long incarnation, long sequence) {}

    private MessageDating() {}

    /** Returns an instance that has seen no message. */
    public static MessageDating create() {
        return new MessageDating();
    }

    /**
     * Returns by how much the ages in a message have to be increased, in nanoseconds; empty if the message must not be used.
     *
     * @param sequence increases with each message of one start of the sender
     * @param echoedToken newest heartbeat token that the sender had received from this host
     */
    public OptionalLong latenessNanos(
            HostId peer, long incarnation, long sequence, long echoedToken, Board board, long nowNanos) {
        @Nullable Newest last = newest.get(peer);
        if (last != null && last.incarnation() == incarnation && sequence <= last.sequence()) {
            return OptionalLong.empty();
        }
        OptionalLong echoed = board.membership().heartbeatSentNanos(peer, echoedToken);
        if (echoed.isEmpty()) {
            return OptionalLong.empty();
        }
        newest.put(peer, new Newest(incarnation, sequence));
        return OptionalLong.of(Math.max(0, nowNanos - echoed.getAsLong() - PUNCTUAL_ECHO_NANOS));
    }

    /** Forgets a daemon whose link is closed. */
    public void forget(HostId peer) {
        newest.remove(peer);
    }
}
