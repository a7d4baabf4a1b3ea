package org.plantainwharf.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;

/** Daemons and their links. Written by the controllers of this package. Owned by the control thread. */
public final class MembershipSection {
    private final HostId self;
    private final AvailabilityZone zone;
    private final long incarnation;
    private final Map<HostId, Member> members = new LinkedHashMap<>();
    private final Map<HostId, Long> receivedTokens = new HashMap<>();
    private @Nullable HeartbeatLog heartbeats;
    private long nextHeartbeatNanos;
    private long lastTickNanos;
    private long resumedNanos;

    private MembershipSection(HostId self, AvailabilityZone zone, long incarnation) {
        this.self = self;
        this.zone = zone;
        this.incarnation = incarnation;
    }

    /** Returns a section without other members. */
    public static MembershipSection create(HostId self, AvailabilityZone zone, long incarnation) {
        return new MembershipSection(self, zone, incarnation);
    }

    /** Returns this host. */
    public HostId self() {
        return self;
    }

    /** Returns this host's availability zone. */
    public AvailabilityZone zone() {
        return zone;
    }

    /** Returns the incarnation of this daemon's process. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the other daemons; those never heard have incarnation 0. */
    public Collection<Member> members() {
        return members.values();
    }

    /** Returns another daemon. */
    public Optional<Member> member(HostId host) {
        return Optional.ofNullable(members.get(host));
    }

    /**
     * Returns when this host sent the heartbeat that another host echoes, on this host's monotonic clock; empty when
     * the token is unknown, older than eight seconds or from an earlier process. Whatever the other host states along
     * with the token was stated after this time.
     */
    public Optional<Long> heartbeatSentNanos(HostId host, long token) {
        return heartbeats == null || !members.containsKey(host) ? Optional.empty() : heartbeats.sentNanos(token);
    }

    /** Returns the newest heartbeat token received over the present link, to be echoed; 0 for none. */
    public long receivedToken(HostId host) {
        return receivedTokens.getOrDefault(host, 0L);
    }

    /** Adds or replaces another daemon. For the membership controller. */
    public void put(Member member) {
        members.put(member.host(), member);
    }

    /** Records the newest token received from a host, 0 when its link is gone. For the membership controller. */
    void setReceivedToken(HostId host, long token) {
        receivedTokens.put(host, token);
    }

    /** Returns the log of sent heartbeats, or null before the first tick. */
    @Nullable
    HeartbeatLog heartbeats() {
        return heartbeats;
    }

    /** Begins to send heartbeats. For the membership controller. */
    void begin(HeartbeatLog log, long nowNanos) {
        heartbeats = log;
        nextHeartbeatNanos = nowNanos;
        lastTickNanos = nowNanos;
        resumedNanos = nowNanos;
    }

    long nextHeartbeatNanos() {
        return nextHeartbeatNanos;
    }

    void setNextHeartbeatNanos(long value) {
        nextHeartbeatNanos = value;
    }

    long lastTickNanos() {
        return lastTickNanos;
    }

    void setLastTickNanos(long value) {
        lastTickNanos = value;
    }

    /** Returns when this process last went on after a pause of its own. */
    long resumedNanos() {
        return resumedNanos;
    }

    void setResumedNanos(long value) {
        resumedNanos = value;
    }
}
