package org.plantainwharf.consensus;

import java.util.Comparator;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import org.plantainwharf.replicated.VoterId;

/**
 * The voters whose agreement a replica needs. Immutable.
 *
 * <p>While a change is not known to be committed, a majority of the voters before it and a majority of the voters
 * after it are both needed. Replacing a lost disk removes one identity and adds another in one change, so a majority
 * before and one after need not share a voter; the double majority restores the overlap. What a replica knows to be
 * committed is lost with a restart, so the leader confirms a committed change by a second entry with the same voters;
 * a log with both needs only a majority of the voters after it.
 *
 * @param voters the voters after the newest change in the log
 * @param previous the voters before it while it is not known to be committed, else empty
 * @param changeIndex index of the newest change, 0 for none
 */
record VoterConfiguration(Set<VoterId> voters, Set<VoterId> previous, long changeIndex) {
    /** Copies the sets. */
    VoterConfiguration {
        voters = Set.copyOf(voters);
        previous = Set.copyOf(previous);
    }

    /** Returns the configuration of a log without any change: nobody votes. */
    static VoterConfiguration none() {
        return new VoterConfiguration(Set.of(), Set.of(), 0);
    }

    /** Says whether the founding change is in the log. */
    boolean bootstrapped() {
        return !voters.isEmpty();
    }

    /** Says whether this identity votes. */
    boolean includes(VoterId voter) {
        return voters.contains(voter) || previous.contains(voter);
    }

    /** Returns every identity that votes, in an order that does not differ from run to run. */
    Set<VoterId> members() {
        Set<VoterId> members = new TreeSet<>(Comparator.comparing(VoterId::text));
        members.addAll(voters);
        members.addAll(previous);
        return members;
    }

    /** Says whether enough voters agree. */
    boolean hasQuorum(Predicate<VoterId> inFavour) {
        return hasMajority(voters, inFavour) && (previous.isEmpty() || hasMajority(previous, inFavour));
    }

    /** Returns the largest value that enough voters have reached. */
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
