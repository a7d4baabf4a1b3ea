package org.plantainwharf.membership;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;

/** Daemons and their links. Written by the controllers of this package. Owned by the control thread. */
public final class MembershipSection {
    private final HostId self;
    private final AvailabilityZone zone;
    private final long incarnation;
    private final Map<HostId, Member> members = new LinkedHashMap<>();

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

    /** Returns the other daemons. */
    public Collection<Member> members() {
        return members.values();
    }

    /** Returns another daemon. */
    public Optional<Member> member(HostId host) {
        return Optional.ofNullable(members.get(host));
    }

    /** Adds or replaces another daemon. For the membership controller. */
    public void put(Member member) {
        members.put(member.host(), member);
    }
}
