package org.plantainwharf.consensus;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.replicated.VoterId;

/** Votes that a candidate has received for one term. Owned by one replica. */
final class Election implements Role {
    private final Kind kind;
    private final long term;
    private final Map<HostId, VoterId> grantedByHost = new LinkedHashMap<>();

    /** Type of vote that is requested. */
    enum Kind {
        /** Asks whether votes would be granted, without incrementing the term. */
        PRE_VOTE,
        /** Needs the votes of a majority. */
        VOTE,
        /** Bootstraps an empty group: needs the identity and the term 1 vote of every bootstrap host. */
        BOOTSTRAP
    }

    private Election(Kind kind, long term) {
        this.kind = kind;
        this.term = term;
    }

    static Election begin(Kind kind, long term) {
        return new Election(kind, term);
    }

    Kind kind() {
        return kind;
    }

    long term() {
        return term;
    }

    /** Counts a vote. If a host lost its disk during the election, only its newest identity counts. */
    void recordGrant(VoterId voter) {
        grantedByHost.put(voter.host(), voter);
    }

    boolean won(VoterConfiguration configuration) {
        return configuration.hasQuorum(grantedByHost::containsValue);
    }

    /** Returns the identities that granted their vote, at most one for each host. */
    Set<VoterId> grantedIdentities() {
        return new LinkedHashSet<>(grantedByHost.values());
    }
}
