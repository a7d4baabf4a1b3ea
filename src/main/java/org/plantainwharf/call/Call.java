package org.plantainwharf.call;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RequestId;

/**
 * A validated request of a known account. Immutable.
 *
 * @param id the request
 * @param account the client account that sent it
 * @param rank its rank
 * @param kind what it asks for
 * @param content the body
 * @param fingerprint identifies the account and the body
 * @param origin how the call reached this host
 * @param arrivedNanos arrival time on this host's monotonic clock
 * @param deadlineNanos time after which an answer is of no use, on this host's monotonic clock
 */
public record Call(
        RequestId id,
        AccountName account,
        RankName rank,
        CallKind kind,
        Content content,
        Fingerprint fingerprint,
        Origin origin,
        long arrivedNanos,
        long deadlineNanos) {}
