package org.plantainwharf.origin;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

import org.jspecify.annotations.Nullable;

/**
 * Records of where streams began, in the order in which they were kept last. Invariant: there are at most
 * {@link #MAXIMUM_RECORDS}. Owned by the control thread.
 */
final class OriginRecords {
    /**
     * The oldest records are dropped first. At 20,000 streams a second, each recorded at three of 17 control daemons, this
     * covers 57 s, and takes less than half of the 64 MB of a daemon.
     */
    static final int MAXIMUM_RECORDS = 200_000;

    private static final int MAXIMUM_SHARED_ORIGINS = 1_024;

    private final Map<String, Kept> records = new LinkedHashMap<>();
    /** One instance of each origin, so that a record takes the memory of its key only. */
    private final Map<StreamOrigin, StreamOrigin> sharedOrigins = new HashMap<>();

    private record Kept(StreamOrigin origin, long atNanos) {}

    int size() {
        return records.size();
    }

    Optional<StreamOrigin> find(String key) {
        return Optional.ofNullable(records.get(key)).map(Kept::origin);
    }

    /**
     * Keeps a record as the newest one; a doubtful one stays doubtful, whatever arrives late. Returns whether the oldest
     * one was dropped for it.
     */
    boolean keep(String key, StreamOrigin origin, long nowNanos) {
        @Nullable Kept former = records.get(key);
        if (former != null && former.origin().doubtful() && !origin.doubtful()) {
            return false;
        }
        if (sharedOrigins.size() >= MAXIMUM_SHARED_ORIGINS) {
            sharedOrigins.clear();
        }
        @Nullable StreamOrigin known = sharedOrigins.putIfAbsent(origin, origin);
        records.remove(key);
        records.put(key, new Kept(known == null ? origin : known, nowNanos));
        if (records.size() <= MAXIMUM_RECORDS) {
            return false;
        }
        records.remove(records.keySet().iterator().next());
        return true;
    }

    /** Removes records that were kept for the given time. */
    void removeExpired(long nowNanos, long retentionNanos) {
        Iterator<Kept> oldestFirst = records.values().iterator();
        while (oldestFirst.hasNext() && nowNanos - oldestFirst.next().atNanos() >= retentionNanos) {
            oldestFirst.remove();
        }
    }

    /** Passes each record to a consumer, the oldest first. */
    void forEach(BiConsumer<String, StreamOrigin> consumer) {
        records.forEach((key, kept) -> consumer.accept(key, kept.origin()));
    }
}
