package org.plantainwharf.consensus;

/** What a replica does in its term. */
sealed interface Role permits Role.Follower, Election, Leadership {
    /** Follows a leader or waits for one. Immutable. */
    record Follower() implements Role {}
}
