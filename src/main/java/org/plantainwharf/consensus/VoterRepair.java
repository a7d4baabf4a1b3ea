package org.plantainwharf.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

/** Decides which voter change brings a host back whose disk was lost. Stateless. */
public final class VoterRepair {
    private VoterRepair() {}

    /**
     * Returns the change that replaces a host's lost identity by its new one, if a new one is caught up and synced. It
     * may still be refused because the change before is not complete; then it is tried again later.
     */
    public static Optional<Command.ChangeVoters> next(Replica replica) {
        for (VoterId learner : replica.caughtUpLearners()) {
            Set<VoterId> voters = new HashSet<>(replica.voters());
            if (voters.removeIf(voter -> voter.host().equals(learner.host()))) {
                voters.add(learner);
                return Optional.of(new Command.ChangeVoters(voters));
            }
        }
        return Optional.empty();
    }
}
