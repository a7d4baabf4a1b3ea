package org.plantainwharf.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

/** Chooses the voter change that adds a learner that has synced the log up to the commit index. Stateless. */
public final class VoterRepair {
    private VoterRepair() {}

    /**
     * Returns the change that replaces the identity of a lost disk by the host's new identity, if the new one is caught
     * up and synced. The leader may still refuse it while the previous change is incomplete; the caller then retries
     * it.
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
     * Returns the change that makes a caught-up learner a voter. It replaces the host's own lost identity, else an
     * unreachable voter; if there is neither, the learner is added. No voter is removed without a replacement.
     *
     * @param unreachable whether there was no contact with a host for so long that it has probably been replaced
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
