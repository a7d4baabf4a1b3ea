package org.plantainwharf.consensus;

/** Role of a replica in its current term. */
sealed interface Role permits Role.Follower, Election, Leadership {
    /** Follows a leader or waits for an election timeout. Immutable. */
    record Follower() implements Role {}
}
