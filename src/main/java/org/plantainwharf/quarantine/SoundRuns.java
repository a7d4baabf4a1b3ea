package org.plantainwharf.quarantine;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.Fingerprint;

/**
 * Contents that servers processed recently without crashing, at most {@link #MAXIMUM_CONTENTS}. Content that crashes
 * every server cannot be among them. Owned by the control thread.
 */
final class SoundRuns {
    /** Time for which a run without a crash clears content, since servers may begin to fail on it after an update. */
    static final long VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time in which a daemon sees most of the contents that many requests share. */
    private static final long LEARNING_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final int MAXIMUM_CONTENTS = 8_192;

    private final Map<Fingerprint, Long> lastRunNanos = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Fingerprint, Long> eldest) {
            return size() > MAXIMUM_CONTENTS;
        }
    };

    private long firstRunNanos;

    void record(Collection<Fingerprint> contents, long nowNanos) {
        if (lastRunNanos.isEmpty()) {
            firstRunNanos = nowNanos;
        }
        contents.forEach(content -> lastRunNanos.put(content, nowNanos));
    }

    /**
     * Returns whether runs have been recorded for long enough that content without one is unusual. Shortly after the
     * start of the daemon it is not.
     */
    boolean areMeaningful(long nowNanos) {
        return !lastRunNanos.isEmpty() && nowNanos - firstRunNanos >= LEARNING_NANOS;
    }

    /** Returns whether a server processed this content without crashing within {@link #VALIDITY_NANOS}. */
    boolean includes(Fingerprint content, long nowNanos) {
        @Nullable Long last = lastRunNanos.get(content);
        return last != null && nowNanos - last < VALIDITY_NANOS;
    }
}
