package org.plantainwharf.call;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RequestId;

/**
 * A checked request of a known account. Immutable.
 *
 * @param id the request
 * @param account the client account that sent it
 * @param rank its rank
 * @param kind what it asks for
 * @param content the body
 * @param fingerprint identifies account and body
 * @param origin where it came from
 * @param arrivedNanos when it arrived, on this host's monotonic clock
 * @param deadlineNanos when its answer stops being of use, on this host's monotonic clock
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
