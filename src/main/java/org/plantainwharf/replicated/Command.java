package org.plantainwharf.replicated;

import java.util.Map;
import java.util.Set;

import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.Content;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.IdempotencyKey;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.sheet.Sheet;

/**
 * A change to replicated state. Every command may be applied twice with the same effect and the same result, because
 * a proposer resends after losing an answer. Immutable.
 */
public sealed interface Command {
    /** Changes the control group's state. */
    sealed interface Control extends Command {}

    /** Changes a record group's state. */
    sealed interface Recording extends Command {}

    /** Appended by a new leader to commit entries of earlier terms. */
    record NoOperation() implements Control, Recording {}

    /**
     * Changes the voters of a group by one.
     *
     * @param voters voter identities after the change, each as host id and disk incarnation
     */
    record ChangeVoters(Set<VoterId> voters) implements Control, Recording {
        /** Copies the voters. */
        public ChangeVoters {
            voters = Set.copyOf(voters);
        }
    }

    /** Puts a sheet in force if its version is newer, compared by version and digest. */
    record ApplySheet(Sheet sheet) implements Control {}

    /** Holds a service document if its version is higher than the one held. */
    record ReplaceDocument(long version, Content content) implements Control {}

    /** Reads the document held; as an entry of the log it sees every document committed before it. */
    record ReadDocument() implements Control {}

    /**
     * Fixes the counts of one usage window; the first ones win.
     *
     * @param requests requests that began to run in the window, by account
     */
    record RecordUsage(long window, Map<AccountName, Long> requests) implements Control {
        /** Copies the map. */
        public RecordUsage {
            requests = Map.copyOf(requests);
        }
    }

    /** Takes the next fencing number for a leader of the control group. */
    record TakeFencingNumber(HostId leader, long term) implements Control {}

    /**
     * Counts a backend server crash against a request's content.
     *
     * @param reportId makes the report idempotent
     * @param share 1.0 when the request ran alone, less when others ran on the same server
     * @param wallClockMillis when the crash was seen, in milliseconds since the epoch
     */
    record ReportCrash(String reportId, Fingerprint fingerprint, double share, long wallClockMillis)
            implements Control {}

    /** Records that a host start is about to be ordered under a token. */
    record RecordHostStart(String token, AvailabilityZone zone, HostClass hostClass) implements Control {}

    /** Records the end of a host start: the platform's host name, or empty after a refusal. */
    record FinishHostStart(String token, String platformHost) implements Control {}

    /**
     * Reserves the single run of a call that may not be repeated.
     *
     * @param ownerIncarnation the owner daemon's incarnation; a restarted owner does not own it
     * @param contentDigest digest of route and body
     */
    record RecordIntent(
            AccountName account,
            IdempotencyKey key,
            String contentDigest,
            HostId owner,
            long ownerIncarnation,
            RequestId request,
            long wallClockMillis)
            implements Recording {}

    /** Gives an intent back: its owner sent no byte and will send none. */
    record ReleaseIntent(AccountName account, IdempotencyKey key, RequestId request, long wallClockMillis)
            implements Recording {}

    /** Records that a call may have run and that its outcome will not be known. */
    record LoseOutcome(AccountName account, IdempotencyKey key, RequestId request) implements Recording {}

    /** Stores the answer of a call that may not be repeated. */
    record RecordOutcome(
            AccountName account,
            IdempotencyKey key,
            RequestId request,
            int httpStatus,
            Content answer,
            long wallClockMillis)
            implements Recording {}

    /** Marks intents as lost whose owner daemon is gone. */
    record MarkOwnerLost(HostId owner, long ownerIncarnation) implements Recording {}

    /** Accepts long work. */
    record AcceptWork(
            AccountName account,
            RequestId request,
            RankName rank,
            CallKind.Model model,
            Content content,
            long wallClockMillis)
            implements Recording {}

    /** Gives accepted work to an owner under a new attempt number. */
    record AssignWork(RequestId request, int attempt, HostId owner, long ownerIncarnation) implements Recording {}

    /** Gives accepted work back without an answer; ignored unless the attempt is the current one. */
    record ReturnWork(RequestId request, int attempt) implements Recording {}

    /** Stores the whole answer of accepted work; ignored unless the attempt is the current one. */
    record CompleteWork(
            RequestId request, int attempt, int httpStatus, Content answer, String answerDigest, long wallClockMillis)
            implements Recording {}

    /** Forgets records that are past their retention. */
    record Expire(long wallClockMillis) implements Control, Recording {}
}
