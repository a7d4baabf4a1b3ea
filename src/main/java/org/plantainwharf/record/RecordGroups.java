package org.plantainwharf.record;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.IdempotencyKey;
import org.plantainwharf.identity.RequestId;

/** Maps orders and accepted work to record groups, identically on every host. Stateless. */
public final class RecordGroups {
    private RecordGroups() {}

    /** Returns the group of an order, from 1 to {@code groups}. */
    public static int groupOf(AccountName account, IdempotencyKey key, int groups) {
        return groupOf(account.value(), key.value(), groups);
    }

    /** Returns the group of accepted work, from 1 to {@code groups}. */
    public static int groupOf(AccountName account, RequestId request, int groups) {
        return groupOf(account.value(), request.value(), groups);
    }

    private static int groupOf(String account, String key, int groups) {
        // The specification of String.hashCode guarantees the same group on every host and Java release.
        return 1 + Math.floorMod(31 * account.hashCode() + key.hashCode(), groups);
    }
}
