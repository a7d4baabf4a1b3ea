package org.plantainwharf.event;

import org.plantainwharf.call.Call;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.RequestId;

/** What happens to a caller's request. Immutable. */
public sealed interface CallEvent extends Event {
    /** A checked request arrived. */
    record CallArrived(Call call) implements CallEvent {}

    /** The caller closed its connection or its stream. */
    record CallerLeft(RequestId request) implements CallEvent {}

    /** A controller refused the call; it has left the call table. */
    record CallRefused(Call call, Failure failure) implements CallEvent {}

    /** The call ended with an answer; it has left the call table. */
    record CallFinished(Call call, long tookNanos) implements CallEvent {}

    /** A caller asks for accepted work. */
    record WorkAsked(RequestId ask, AccountName account, RequestId work, boolean wantsAnswer) implements CallEvent {}
}
