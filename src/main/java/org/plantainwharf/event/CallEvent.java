package org.plantainwharf.event;

import org.plantainwharf.call.Call;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.RequestId;

/** Arrival, end and queries of callers' requests. Immutable. */
public sealed interface CallEvent extends Event {
    /** A validated request arrived. */
    record CallArrived(Call call) implements CallEvent {}

    /** The caller closed its connection or stream before the answer was complete. */
    record CallerLeft(RequestId request) implements CallEvent {}

    /** A controller ended the call with a failure. The call is no longer in the call table. */
    record CallRefused(Call call, Failure failure) implements CallEvent {}

    /**
     * The call ended with an answer. The call is no longer in the call table.
     *
     * @param elapsedNanos time since the call arrived, in nanoseconds
     */
    record CallFinished(Call call, long elapsedNanos) implements CallEvent {}

    /**
     * A caller queries accepted work.
     *
     * @param queryRequest id of the querying request, which the answer goes to
     * @param work id of the request that was accepted
     * @param includeAnswer whether to return the stored answer instead of a status report
     */
    record WorkAsked(RequestId queryRequest, AccountName account, RequestId work, boolean includeAnswer)
            implements CallEvent {}
}
