package org.plantainwharf.record;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.IdempotencyKey;
import org.plantainwharf.identity.RequestId;

/** Chooses the record group of an order or of accepted work; the same on every host. Stateless. */
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
        // String.hashCode is specified, so that every host and release computes the same group.
        return 1 + Math.floorMod(31 * account.hashCode() + key.hashCode(), groups);
    }
}
