package org.plantainwharf.routing;

import org.plantainwharf.membership.Member;
import org.plantainwharf.membership.MembershipSection;

/** Counts the hosts that send calls to the same servers. Stateless. */
public final class ActiveHosts {
    private ActiveHosts() {}

    /** Returns the number of linked hosts that are not draining, including this host. */
    public static int count(MembershipSection membership) {
        int hosts = 1;
        for (Member member : membership.members()) {
            if (member.linked() && !member.draining()) {
                hosts++;
            }
        }
        return hosts;
    }
}
