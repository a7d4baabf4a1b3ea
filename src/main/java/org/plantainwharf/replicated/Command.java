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
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.rollout.RolloutPhase;
import org.plantainwharf.sheet.Sheet;

/**
 * A change to replicated state. Every command is idempotent: applying it again has no further effect and gives the same
 * result, because a proposer resends a command whose answer was lost. Immutable.
 */
public sealed interface Command {
    /** A command of the control group. */
    sealed interface Control extends Command {}

    /** A command of a record group. */
    sealed interface Recording extends Command {}

    /** Has no effect. Appended by a new leader to commit the entries of earlier terms. */
    record NoOperation() implements Control, Recording {}

    /**
     * Replaces the voters of a group. A change adds at most one identity and removes at most one.
     *
     * @param voters voter identities after the change
     */
    record ChangeVoters(Set<VoterId> voters) implements Control, Recording {
        /** Makes an immutable copy of the voters. */
        public ChangeVoters {
            voters = Set.copyOf(voters);
        }
    }

    /**
     * Puts a sheet in force if its version is higher than the one in force. A sheet with an accepted version succeeds
     * again if its digest is the same and conflicts otherwise.
     */
    record ApplySheet(Sheet sheet) implements Control {}

    /** Stores a service document if its version is higher than the stored one. */
    record ReplaceDocument(long version, Content content) implements Control {}

    /** Reads the stored document. As a log entry, it sees every document committed before it. */
    record ReadDocument() implements Control {}

    /**
     * Records the counts of one usage window. The first recorded counts of a window are final.
     *
     * @param requests number of requests that started to run in the window, by account
     */
    record RecordUsage(long window, Map<AccountName, Long> requests) implements Control {
        /** Makes an immutable copy of the map. */
        public RecordUsage {
            requests = Map.copyOf(requests);
        }
    }

    /** Issues the next fencing number to a leader of the control group. */
    record TakeFencingNumber(HostId leader, long term) implements Control {}

    /**
     * Attributes a backend server crash to a request's content.
     *
     * @param reportId unique id that makes the report idempotent
     * @param share 1.0 if the request ran alone, less if others ran on the same server
     * @param precedingCrashes the report is ignored if more crashes than this are attributed to the content already, so
     *     that servers that crash at the same time for another reason count as one crash
     * @param wallClockMillis time at which the crash was detected, in milliseconds since the epoch
     */
    record ReportCrash(
            String reportId, Fingerprint fingerprint, double share, int precedingCrashes, long wallClockMillis)
            implements Control {
        /** Value of {@code precedingCrashes} with which a report always counts. */
        public static final int UNRESTRICTED = Integer.MAX_VALUE;
    }

    /**
     * Withdraws the crashes attributed to content that was processed without a crash. Ignored if further crashes were
     * attributed to it.
     *
     * @param reportIds ids of the reports that the proposer knew when it learned of the run without a crash
     */
    record WithdrawCrashes(Fingerprint fingerprint, Set<String> reportIds) implements Control {
        /** Makes an immutable copy of the ids. */
        public WithdrawCrashes {
            reportIds = Set.copyOf(reportIds);
        }
    }

    /**
     * Records that a backend server has announced its end.
     *
     * @param wallClockMillis time of the announcement, in milliseconds since the epoch
     */
    record RecordDeparture(Departure departure, long wallClockMillis) implements Control {}

    /** Lists a software version whose servers may begin streams of a service from now on. */
    record ListServerVersion(ServiceName service, ServerVersion version) implements Control {}

    /**
     * Closes a listed software version of which no server is left: it begins no stream any more until it is listed again,
     * but streams that it began may still be taken up.
     */
    record CloseServerVersion(ServiceName service, ServerVersion version) implements Control {}

    /**
     * Removes a closed software version; one that is not closed stays. No caller takes up a stream any more that one of its
     * servers began.
     */
    record RetireServerVersion(ServiceName service, ServerVersion version) implements Control {}

    /**
     * Begins a rollout. The same order again, while it is in progress or shortly after, gets the same answer; another order
     * while one is in progress conflicts with it.
     *
     * @param durationMillis time within which a good version is to be completed, positive
     * @param wallClockMillis time of the order, in milliseconds since the epoch
     */
    record BeginRollout(ServiceName service, ServerVersion target, long durationMillis, long wallClockMillis)
            implements Control {}

    /** Moves a rollout on. Ignored unless this rollout is in progress and the phase is a later one that is no verdict. */
    record AdvanceRollout(ServiceName service, long number, RolloutPhase phase) implements Control {}

    /** Gives the verdict on a rollout. Ignored if this rollout has another verdict already. */
    record FinishRollout(ServiceName service, long number, RolloutPhase verdict) implements Control {}

    /** Reads the newest rollout of a service. As a log entry, it sees every command committed before it. */
    record ReadRollout(ServiceName service) implements Control {}

    /** Records that a host start is about to be requested under a token. */
    record RecordHostStart(String token, AvailabilityZone zone, HostClass hostClass) implements Control {}

    /**
     * Records the result of a host start.
     *
     * @param platformHost the platform's name of the host, empty if the platform refused the start
     */
    record FinishHostStart(String token, String platformHost) implements Control {}

    /**
     * Reserves the only execution of a call that must not be repeated.
     *
     * @param contentDigest digest of route and body
     * @param ownerIncarnation incarnation of the owner daemon; after a restart the daemon is no longer the owner
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

    /** Releases an intent whose owner has not sent any byte of the call and will not send any. */
    record ReleaseIntent(AccountName account, IdempotencyKey key, RequestId request, long wallClockMillis)
            implements Recording {}

    /** Records that a call may have run and that its outcome will remain unknown. */
    record LoseOutcome(AccountName account, IdempotencyKey key, RequestId request) implements Recording {}

    /** Stores the answer of a call that must not be repeated. */
    record RecordOutcome(
            AccountName account,
            IdempotencyKey key,
            RequestId request,
            int httpStatus,
            Content answer,
            long wallClockMillis)
            implements Recording {}

    /** Marks the intents of a daemon that no longer exists as lost. */
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

    /** Assigns accepted work to an owner under a new attempt number. */
    record AssignWork(RequestId request, int attempt, HostId owner, long ownerIncarnation) implements Recording {}

    /** Returns accepted work without an answer, for reassignment. Ignored unless the attempt is the current one. */
    record ReturnWork(RequestId request, int attempt) implements Recording {}

    /** Stores the complete answer of accepted work. Ignored unless the attempt is the current one. */
    record CompleteWork(
            RequestId request, int attempt, int httpStatus, Content answer, String answerDigest, long wallClockMillis)
            implements Recording {}

    /** Removes records and stored answers whose retention period has ended. */
    record Expire(long wallClockMillis) implements Control, Recording {}
}
