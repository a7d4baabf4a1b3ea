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
import org.plantainwharf.rollout.Rollout;
import org.plantainwharf.sheet.Sheet;

/** One record of replicated state. A snapshot consists of all records. Immutable. */
public sealed interface StateRecord {
    /** The sheet in force. */
    record SheetInForce(Sheet sheet) implements StateRecord {}

    /** A sheet that was accepted earlier, kept so that a resent command gets the same result. */
    record AcceptedSheet(long version, String digest) implements StateRecord {}

    /** The stored service document. */
    record Document(long version, Content content) implements StateRecord {}

    /** The final counts of a usage window: requests by account. */
    record Usage(long window, Map<AccountName, Long> requests) implements StateRecord {
        /** Makes an immutable copy of the map. */
        public Usage {
            requests = Map.copyOf(requests);
        }
    }

    /** The fencing number issued last, and the leader and term that it was issued to. */
    record Fencing(long number, HostId leader, long term) implements StateRecord {}

    /**
     * Backend server crashes attributed to a request's content.
     *
     * @param count sum of the shares of the reported crashes
     * @param lastMillis time of the newest crash, in milliseconds since the epoch
     * @param reportIds ids of the reports counted
     */
    record Crashes(Fingerprint fingerprint, double count, long lastMillis, Set<String> reportIds)
            implements StateRecord {
        /** Copies the set. */
        public Crashes {
            reportIds = Set.copyOf(reportIds);
        }
    }

    /** A departure and when it was announced, in milliseconds since the epoch. */
    record Departed(Departure departure, long wallClockMillis) implements StateRecord {}

    /** A host start; {@code platformHost} is empty unless it succeeded. */
    record HostStart(String token, AvailabilityZone zone, HostClass hostClass, boolean finished, String platformHost)
            implements StateRecord {}

    /**
     * A software version that may have begun streams of a service.
     *
     * @param closed whether it may begin no stream any more
     */
    record ListedVersion(ServiceName service, ServerVersion version, boolean closed) implements StateRecord {}

    /** A rollout of a service. The last record of a service is its newest rollout, those before it are former ones. */
    record NewestRollout(Rollout rollout) implements StateRecord {}

    /**
     * A call that must not be repeated.
     *
     * @param contentDigest digest of route and body
     * @param releasedRequests requests that will never send the call. A duplicate of their intent that arrives late, or
     *     an intent that arrives after its own release, cannot reserve the call for an owner that has given up.
     */
    record Order(
            AccountName account,
            IdempotencyKey key,
            String contentDigest,
            OrderState state,
            Set<RequestId> releasedRequests,
            long wallClockMillis)
            implements StateRecord {
        /** Copies the set. */
        public Order {
            releasedRequests = Set.copyOf(releasedRequests);
        }
    }

    /** Accepted long work. */
    record Work(
            AccountName account,
            RequestId request,
            RankName rank,
            CallKind.Model model,
            Content content,
            WorkState state,
            long wallClockMillis)
            implements StateRecord {}

    /** State of the only execution of an order. */
    sealed interface OrderState {
        /** The owner may send the call or has sent it. */
        record Reserved(HostId owner, long ownerIncarnation, RequestId request) implements OrderState {}

        /** Nothing of the call was sent; another request may reserve it. */
        record Released() implements OrderState {}

        /** The call ran and returned this answer. */
        record Finished(RequestId request, int httpStatus, Content answer) implements OrderState {}

        /** The owner no longer exists; the call may have run. */
        record Lost(RequestId request) implements OrderState {}

        /** The answer is no longer stored; the idempotency key remains unusable. */
        record Expired() implements OrderState {}
    }

    /** Progress of accepted work. */
    sealed interface WorkState {
        /** Not assigned to an owner; {@code attempt} is the number of the last attempt, 0 for none. */
        record Waiting(int attempt) implements WorkState {}

        /** Assigned to an owner, which runs an attempt. */
        record Assigned(int attempt, HostId owner, long ownerIncarnation) implements WorkState {}

        /** The complete answer is stored. */
        record Finished(int attempt, int httpStatus, Content answer, String answerDigest) implements WorkState {}
    }
}
