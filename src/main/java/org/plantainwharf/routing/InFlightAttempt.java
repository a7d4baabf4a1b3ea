package org.plantainwharf.routing;

import org.plantainwharf.admission.Destination;
import org.plantainwharf.call.Call;
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.server.ServerEntry;

/** An attempt that was sent to a server and whose end has not been reported. Mutable; owned by the control thread. */
public final class InFlightAttempt {
    private final AttemptId attempt;
    private final Call call;
    private final Destination destination;
    private final ServerRoutingState serverState;
    private final ServerEntry entry;
    private final long incarnation;
    private final long startedNanos;
    private final boolean startedWithFreeSlot;
    private final int cachedTokens;
    private final boolean suspect;
    private long firstTokenNanos = Long.MIN_VALUE;
    private int tokens;

    private InFlightAttempt(
            AttemptId attempt,
            Call call,
            ServerRoutingState serverState,
            int cachedTokens,
            boolean suspect,
            long startedNanos) {
        this.attempt = attempt;
        this.call = call;
        this.destination = Destination.of(call.kind());
        this.serverState = serverState;
        this.entry = serverState.entry();
        this.incarnation = entry.announcement().incarnation();
        this.startedNanos = startedNanos;
        this.startedWithFreeSlot = serverState.load() < entry.announcement().slots();
        this.cachedTokens = cachedTokens;
        this.suspect = suspect;
    }

    static InFlightAttempt create(
            AttemptId attempt,
            Call call,
            ServerRoutingState serverState,
            int cachedTokens,
            boolean suspect,
            long startedNanos) {
        return new InFlightAttempt(attempt, call, serverState, cachedTokens, suspect, startedNanos);
    }

    public AttemptId attempt() {
        return attempt;
    }

    public Call call() {
        return call;
    }

    /** Returns the destination for which the call competes. */
    public Destination destination() {
        return destination;
    }

    /** Returns the server's registry entry at the time the attempt was sent. */
    public ServerEntry entry() {
        return entry;
    }

    /** Returns the incarnation of the server process to which the attempt was sent. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the time at which the attempt was sent, on this host's monotonic clock. */
    public long startedNanos() {
        return startedNanos;
    }

    /** Returns whether this is a suspect request, which runs alone on the server. */
    public boolean suspect() {
        return suspect;
    }

    /**
     * Returns whether no other call is known to run on the server. Calls of other hosts are known only from the
     * server's load reports.
     */
    public boolean isAloneOnServer() {
        return serverState.load() <= 1;
    }

    ServerRoutingState serverState() {
        return serverState;
    }

    /** Returns whether the server had a free slot at the start, so that the measured times include no queueing. */
    boolean startedWithFreeSlot() {
        return startedWithFreeSlot;
    }

    /** Returns the number of prompt tokens that the server was assumed to have cached. */
    int cachedTokens() {
        return cachedTokens;
    }

    long firstTokenNanos() {
        return firstTokenNanos;
    }

    void setFirstTokenNanos(long value) {
        firstTokenNanos = value;
    }

    int tokens() {
        return tokens;
    }

    void addTokens(int value) {
        tokens += value;
    }
}
