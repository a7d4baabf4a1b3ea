package org.plantainwharf.consensus;

import java.util.Comparator;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import org.plantainwharf.replicated.VoterId;

/**
 * The voter configuration that defines a quorum. Immutable.
 *
 * <p>While a change is not known to be committed, a quorum needs a majority of the voters before it and a majority of
 * the voters after it. Replacing a lost disk removes one identity and adds another in one change, so a majority before
 * and a majority after need not share a voter; the double majority restores the overlap.
 *
 * <p>A restarted replica does not know its commit index, so it cannot tell whether the newest change is committed. Once
 * a change is committed and the added voter has synced it, the leader therefore appends a second entry with the same
 * voters, the confirming entry. If a log contains it, the change before it is committed and only the voters after the
 * change count.
 *
 * @param voters the voters after the newest change in the log
 * @param previous the voters before that change while it is not known to be committed, else empty
 * @param changeIndex index of the newest change, 0 for none
 */
record VoterConfiguration(Set<VoterId> voters, Set<VoterId> previous, long changeIndex) {
    /** Makes immutable copies of the sets. */
    VoterConfiguration {
        voters = Set.copyOf(voters);
        previous = Set.copyOf(previous);
    }

    /** Returns the configuration of a log without any voter change: no identity votes. */
    static VoterConfiguration none() {
        return new VoterConfiguration(Set.of(), Set.of(), 0);
    }

    /** Returns true if the log contains the bootstrap entry. */
    boolean bootstrapped() {
        return !voters.isEmpty();
    }

    /** Returns true if this identity votes. */
    boolean includes(VoterId voter) {
        return voters.contains(voter) || previous.contains(voter);
    }

    /** Returns every identity that votes, in a deterministic order. */
    Set<VoterId> members() {
        Set<VoterId> members = new TreeSet<>(Comparator.comparing(VoterId::text));
        members.addAll(voters);
        members.addAll(previous);
        return members;
    }

    /** Returns true if the voters in favour form a quorum. */
    boolean hasQuorum(Predicate<VoterId> inFavour) {
        return hasMajority(voters, inFavour) && (previous.isEmpty() || hasMajority(previous, inFavour));
    }

    /** Returns the largest value that a quorum of voters has reached, {@code Long.MIN_VALUE} without voters. */
    long quorumValue(ToLongFunction<VoterId> value) {
        long reachedByMajority = majorityValue(voters, value);
        return previous.isEmpty() ? reachedByMajority : Math.min(reachedByMajority, majorityValue(previous, value));
    }

    private static boolean hasMajority(Set<VoterId> voters, Predicate<VoterId> inFavour) {
        return 2 * voters.stream().filter(inFavour).count() > voters.size();
    }

    private static long majorityValue(Set<VoterId> voters, ToLongFunction<VoterId> value) {
        long[] values = voters.stream().mapToLong(value).sorted().toArray();
        return values.length == 0 ? Long.MIN_VALUE : values[(values.length - 1) / 2];
    }
}
