package org.plantainwharf.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

/** Decides which voter change brings a host into the group whose copy is caught up and synced. Stateless. */
public final class VoterRepair {
    private VoterRepair() {}

    /**
     * Returns the change that replaces a host's lost identity by its new one, if a new one is caught up and synced. It
     * may still be refused because the change before is not complete; then it is tried again later.
     */
    public static Optional<Command.ChangeVoters> nextDiskReplacement(Replica replica) {
        for (VoterId learner : replica.caughtUpLearners()) {
            Set<VoterId> voters = new HashSet<>(replica.voters());
            if (voters.removeIf(voter -> voter.host().equals(learner.host()))) {
                voters.add(learner);
                return Optional.of(new Command.ChangeVoters(voters));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the change that lets a newcomer vote: in place of its own lost identity, else in place of a voter that
     * went silent, else beside the others. No voter goes without a newcomer.
     *
     * @param unreachable whether a host was not heard for so long that it has probably been replaced
     */
    public static Optional<Command.ChangeVoters> nextVoterChange(Replica replica, Predicate<HostId> unreachable) {
        Optional<Command.ChangeVoters> replacement = nextDiskReplacement(replica);
        if (replacement.isPresent()) {
            return replacement;
        }
        return replica.caughtUpLearners().stream().findFirst().map(learner -> {
            Set<VoterId> voters = new HashSet<>(replica.voters());
            voters.stream()
                    .filter(voter -> unreachable.test(voter.host()))
                    .findFirst()
                    .ifPresent(voters::remove);
            voters.add(learner);
            return new Command.ChangeVoters(voters);
        });
    }
}
