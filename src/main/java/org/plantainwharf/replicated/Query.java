package org.plantainwharf.replicated;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.RequestId;

/** A read that the leader of a group answers while it holds a valid lease. Immutable. */
public sealed interface Query {
    /** Asks for the state of accepted work, on behalf of one account. */
    record WorkState(AccountName account, RequestId request) implements Query {}
}
