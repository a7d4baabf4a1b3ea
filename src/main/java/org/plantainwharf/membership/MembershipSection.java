package org.plantainwharf.membership;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;

/**
 * The other daemons, their links and heartbeats. Written by the controllers of this package. Owned by the control
 * thread.
 */
public final class MembershipSection {
    /** Heartbeats of eight seconds; leases between daemons are valid for at most 3 s. */
    private static final int MAXIMUM_SENT_HEARTBEATS = 32;

    private final HostId self;
    private final AvailabilityZone zone;
    private final long incarnation;
    private final Map<HostId, Member> members = new LinkedHashMap<>();

    private final Map<HostId, Map<Long, Long>> sentHeartbeats = new LinkedHashMap<>();
    private final Map<HostId, Long> echoedHeartbeats = new LinkedHashMap<>();
    private final Map<HostId, Long> receivedTokens = new LinkedHashMap<>();
    private boolean initialized;
    private long nextToken;
    private long nextHeartbeatNanos;
    private long lastTickNanos;
    private long resumedNanos;

    private MembershipSection(HostId self, AvailabilityZone zone, long incarnation) {
        this.self = self;
        this.zone = zone;
        this.incarnation = incarnation;
    }

    /** Returns a section without members. */
    public static MembershipSection create(HostId self, AvailabilityZone zone, long incarnation) {
        return new MembershipSection(self, zone, incarnation);
    }

    /** Returns the id of this host. */
    public HostId self() {
        return self;
    }

    /** Returns this host's availability zone. */
    public AvailabilityZone zone() {
        return zone;
    }

    /** Returns the incarnation of this daemon, which changes with every start of its process. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the other daemons, linked or not. */
    public Collection<Member> members() {
        return members.values();
    }

    /** Returns another daemon, or empty if it is unknown. */
    public Optional<Member> member(HostId host) {
        return Optional.ofNullable(members.get(host));
    }

    /** Adds another daemon or replaces its state. For the membership controller. */
    public void put(Member member) {
        members.put(member.host(), member);
    }

    /** Records a heartbeat that this host sent. For the membership controller. */
    public void recordHeartbeatSent(HostId peer, long token, long nowNanos) {
        Map<Long, Long> tokens = sentHeartbeats.computeIfAbsent(peer, key -> new LinkedHashMap<>());
        tokens.put(token, nowNanos);
        if (tokens.size() > MAXIMUM_SENT_HEARTBEATS) {
            tokens.remove(tokens.keySet().iterator().next());
        }
    }

    /**
     * Returns when this host sent the heartbeat with this token to another daemon, on this host's monotonic clock.
     * Empty for a token that is too old or that another incarnation of this host sent. A message of the other daemon
     * that echoes the token was sent after this time, so a lease that starts at this time never ends too late.
     */
    public OptionalLong heartbeatSentNanos(HostId peer, long token) {
        Long sent = sentHeartbeats.getOrDefault(peer, Map.of()).get(token);
        return sent == null ? OptionalLong.empty() : OptionalLong.of(sent);
    }

    /** Returns whether this host has sent any heartbeat to another daemon. */
    public boolean hasSentHeartbeats(HostId peer) {
        return sentHeartbeats.containsKey(peer);
    }

    /** Records that another daemon echoed a heartbeat of this host. For the membership controller. */
    public void recordHeartbeatEchoed(HostId peer, long sentNanos) {
        echoedHeartbeats.merge(peer, sentNanos, (earlier, later) -> later - earlier > 0 ? later : earlier);
    }

    /**
     * Returns a time on this host's monotonic clock after which another daemon sent the messages that arrive from it
     * from now on: when this host sent the newest heartbeat that the other daemon has echoed. Messages of one link are
     * handled in the order in which they were sent, except those with large content, which may be older. A message that
     * waited while this process was paused is not taken for a new one.
     */
    public OptionalLong sentAfterNanos(HostId peer) {
        @Nullable Long sent = echoedHeartbeats.get(peer);
        return sent == null ? OptionalLong.empty() : OptionalLong.of(sent);
    }

    /** Records the newest token received over the link to another daemon, 0 for none. For the membership controller. */
    public void recordHeartbeatReceived(HostId peer, long token) {
        receivedTokens.put(peer, token);
    }

    /** Returns the newest token received over the present link to another daemon, 0 for none. */
    public long newestReceivedToken(HostId peer) {
        return receivedTokens.getOrDefault(peer, 0L);
    }

    boolean initialized() {
        return initialized;
    }

    /**
     * Sets the first token and starts the heartbeats.
     *
     * @param firstToken chosen at random at each start of the process, so that an echo of a token from before a restart
     *     is not mistaken for a token of this process
     */
    void initialize(long firstToken, long nowNanos) {
        initialized = true;
        nextToken = firstToken;
        nextHeartbeatNanos = nowNanos;
        lastTickNanos = nowNanos;
        resumedNanos = nowNanos;
    }

    long allocateToken() {
        long token = nextToken;
        nextToken++;
        return token;
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

    /** Returns when this process last resumed after a pause, or when it was initialized if it has not paused. */
    long resumedNanos() {
        return resumedNanos;
    }

    void setResumedNanos(long value) {
        resumedNanos = value;
    }
}
