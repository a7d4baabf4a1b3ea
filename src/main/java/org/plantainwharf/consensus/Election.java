package org.plantainwharf.consensus;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.replicated.VoterId;

/** Votes gathered by one replica for one term. Owned by that replica. */
final class Election implements Role {
    private final Kind kind;
    private final long term;
    private final Map<HostId, VoterId> grantedByHost = new LinkedHashMap<>();

    /** Which votes are gathered. */
    enum Kind {
        /** Asks whether votes would be granted; the term is not raised yet. */
        PRE_VOTE,
        /** Asks a majority. */
        VOTE,
        /** Asks all founding hosts, of an empty group, for their identities and their vote in term 1. */
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

    /** Counts a vote. A host that lost its disk meanwhile counts with its newest identity only. */
    void recordGrant(VoterId voter) {
        grantedByHost.put(voter.host(), voter);
    }

    boolean won(VoterConfiguration configuration) {
        return configuration.hasQuorum(grantedByHost::containsValue);
    }

    /** Returns the identities of the founding hosts that granted. */
    Set<VoterId> grantedIdentities() {
        return new LinkedHashSet<>(grantedByHost.values());
    }
}
