package org.plantainwharf.replicated;

import java.util.Map;

import org.plantainwharf.call.Content;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.rollout.Rollout;

/** The result of applying a command. Applying the same command again gives the same result. Immutable. */
public sealed interface CommandResult {
    /** The command has taken effect, now or when it was applied earlier. */
    record Done() implements CommandResult {}

    /** The sheet has been accepted, now or when it was applied earlier. */
    record SheetAccepted(long version, String digest) implements CommandResult {}

    /** A different sheet was accepted under this version. */
    record SheetConflict(long version, String winnerDigest) implements CommandResult {}

    /** A newer sheet is in force. */
    record SheetStale(long version, long versionInForce) implements CommandResult {}

    /** The fencing number issued. */
    record FencingNumber(long number) implements CommandResult {}

    /** The stored document has at least the proposed version. */
    record DocumentHeld(long version) implements CommandResult {}

    /** The stored document; version 0 and no content if none was stored yet. */
    record DocumentContent(long version, Content content) implements CommandResult {}

    /** The final counts of a usage window, recorded now or earlier. */
    record UsageRecorded(long window, Map<AccountName, Long> requests) implements CommandResult {
        /** Makes an immutable copy of the map. */
        public UsageRecorded {
            requests = Map.copyOf(requests);
        }
    }

    /** The rollout that was begun, now or earlier, or that was read. */
    record RolloutHeld(Rollout rollout) implements CommandResult {}

    /** Another rollout of the service is in progress. */
    record RolloutConflict(Rollout inProgress) implements CommandResult {}

    /** No rollout of the service was ever begun. */
    record NoRollout() implements CommandResult {}

    /** The request owns the only execution of the call. */
    record IntentGranted() implements CommandResult {}

    /** The call ran earlier and returned this answer. */
    record IntentFinished(int httpStatus, Content answer) implements CommandResult {}

    /** Another request is executing the call. */
    record IntentRunning(RequestId request) implements CommandResult {}

    /** The call may have run; its outcome is unknown. */
    record IntentLost() implements CommandResult {}

    /** The idempotency key was used for other content. */
    record IntentReused() implements CommandResult {}

    /** The idempotency key was used and its answer is no longer stored. */
    record IntentExpired() implements CommandResult {}

    /** The command does not apply to the current state, for example a late completion. */
    record Ignored() implements CommandResult {}
}
