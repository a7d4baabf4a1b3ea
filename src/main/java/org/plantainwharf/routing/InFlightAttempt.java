package org.plantainwharf.routing;

import org.plantainwharf.admission.Destination;
import org.plantainwharf.call.Call;
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.server.ServerEntry;

/**
 * An attempt that was sent and whose end was not reported yet. Mutable; owned by the control thread.
 */
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

    /** Returns the attempt. */
    public AttemptId attempt() {
        return attempt;
    }

    /** Returns the call. */
    public Call call() {
        return call;
    }

    /** Returns what the call needs. */
    public Destination destination() {
        return destination;
    }

    /** Returns the server's entry when the attempt was sent. */
    public ServerEntry entry() {
        return entry;
    }

    /** Returns the incarnation of the server's process to which the attempt was sent. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns when the attempt was sent. */
    public long startedNanos() {
        return startedNanos;
    }

    /** Says whether it is a suspect request that runs alone on the server. */
    public boolean suspect() {
        return suspect;
    }

    /**
     * Says whether nothing else runs on the server, as far as this host knows: calls of other hosts are known from the
     * server's load reports only.
     */
    public boolean isAloneOnServer() {
        return serverState.load() <= 1;
    }

    ServerRoutingState serverState() {
        return serverState;
    }

    /** Says whether the server had a free slot, so that the times seen are not times of waiting. */
    boolean startedWithFreeSlot() {
        return startedWithFreeSlot;
    }

    /** Returns how many tokens of the prompt the server was believed to hold already. */
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
