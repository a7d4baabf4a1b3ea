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

/** One record of replicated state. A snapshot is the list of all records. Immutable. */
public sealed interface StateRecord {
    /** The sheet in force. */
    record SheetInForce(Sheet sheet) implements StateRecord {}

    /** A sheet that was accepted earlier, so that a resend gets the same answer. */
    record AcceptedSheet(long version, String digest) implements StateRecord {}

    /** The service document held. */
    record Document(long version, Content content) implements StateRecord {}

    /** The fixed counts of a usage window. */
    record Usage(long window, Map<AccountName, Long> requests) implements StateRecord {
        /** Copies the map. */
        public Usage {
            requests = Map.copyOf(requests);
        }
    }

    /** The newest fencing number. */
    record Fencing(long number, HostId leader, long term) implements StateRecord {}

    /** Crashes counted against a request's content. */
    record Crashes(Fingerprint fingerprint, double count, long lastMillis, Set<String> reportIds)
            implements StateRecord {
        /** Copies the set. */
        public Crashes {
            reportIds = Set.copyOf(reportIds);
        }
    }

    /** A host start; {@code platformHost} is empty until it succeeded. */
    record HostStart(String token, AvailabilityZone zone, HostClass hostClass, boolean finished, String platformHost)
            implements StateRecord {}

    /**
     * A call that may not be repeated.
     *
     * @param releasedRequests requests that will never send it, so that a delayed duplicate of their intent, or an
     *     intent that its own release overtook, cannot reserve it for an owner that has given up
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

    /** What is known of the single run of an order. */
    sealed interface OrderState {
        /** Its owner may send it or has sent it. */
        record Reserved(HostId owner, long ownerIncarnation, RequestId request) implements OrderState {}

        /** Nothing of it was sent; another request may reserve it. */
        record Released() implements OrderState {}

        /** It ran; this is its answer. */
        record Finished(RequestId request, int httpStatus, Content answer) implements OrderState {}

        /** Its owner is gone; it may have run. */
        record Lost(RequestId request) implements OrderState {}

        /** Its answer is no longer kept; the key stays unusable. */
        record Expired() implements OrderState {}
    }

    /** Progress of accepted work. */
    sealed interface WorkState {
        /** No owner yet; {@code attempt} is the last one given out, 0 for none. */
        record Waiting(int attempt) implements WorkState {}

        /** An owner runs an attempt. */
        record Assigned(int attempt, HostId owner, long ownerIncarnation) implements WorkState {}

        /** The whole answer is stored. */
        record Finished(int attempt, int httpStatus, Content answer, String answerDigest) implements WorkState {}
    }
}
