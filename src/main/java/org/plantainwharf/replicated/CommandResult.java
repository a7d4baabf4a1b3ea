package org.plantainwharf.replicated;

import java.util.Map;

import org.plantainwharf.call.Content;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.RequestId;

/** The result of applying a command. The same command applied again gives the same result. Immutable. */
public sealed interface CommandResult {
    /** The command took effect, now or earlier. */
    record Done() implements CommandResult {}

    /** A sheet was accepted, now or earlier. */
    record SheetAccepted(long version, String digest) implements CommandResult {}

    /** Another sheet holds this version. */
    record SheetConflict(long version, String winnerDigest) implements CommandResult {}

    /** A newer sheet is in force. */
    record SheetStale(long version, long versionInForce) implements CommandResult {}

    /** The fencing number taken. */
    record FencingNumber(long number) implements CommandResult {}

    /** A document is held whose version is at least the proposed one. */
    record DocumentHeld(long version) implements CommandResult {}

    /** The document held; version 0 and no bytes before the first. */
    record DocumentContent(long version, Content content) implements CommandResult {}

    /** The counts of a usage window as fixed now or earlier. */
    record UsageRecorded(long window, Map<AccountName, Long> requests) implements CommandResult {
        /** Copies the map. */
        public UsageRecorded {
            requests = Map.copyOf(requests);
        }
    }

    /** The caller of this command owns the single run. */
    record IntentGranted() implements CommandResult {}

    /** The call ran earlier; this is its answer. */
    record IntentFinished(int httpStatus, Content answer) implements CommandResult {}

    /** Another request runs the call now. */
    record IntentRunning(RequestId request) implements CommandResult {}

    /** The call may have run; its outcome was lost. */
    record IntentLost() implements CommandResult {}

    /** The key was used with other content. */
    record IntentReused() implements CommandResult {}

    /** The key was used and its answer is no longer kept. */
    record IntentExpired() implements CommandResult {}

    /** The command does not apply to the current state, for example a late completion. */
    record Ignored() implements CommandResult {}
}
