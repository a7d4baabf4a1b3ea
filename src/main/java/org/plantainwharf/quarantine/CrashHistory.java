package org.plantainwharf.quarantine;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * When the crashes happened that any daemon reported, whatever contents they were attributed to; at most {@link
 * #MAXIMUM_CRASHES} are kept, the newest. Times are those of the reporting daemons' clocks. Owned by the control thread.
 */
final class CrashHistory {
    private static final int MAXIMUM_CRASHES = 1_024;

    /** Crashes that shortly precede those of a content show that there is another cause as well. */
    private static final long PRECEDING_MILLIS = 10_000;

    private final Map<String, Long> millisByCrash = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAXIMUM_CRASHES;
        }
    };

    /** Records a crash. Further reports of the same crash have no effect. */
    void record(String crashId, long wallClockMillis) {
        millisByCrash.putIfAbsent(crashId, wallClockMillis);
    }

    /**
     * Returns how many crashes are known, these included, from shortly before the first to the last of these crashes.
     */
    int crashesDuring(Collection<String> crashIds) {
        OptionalLong first = crashIds.stream()
                .filter(millisByCrash::containsKey)
                .mapToLong(crash -> Objects.requireNonNull(millisByCrash.get(crash)))
                .min();
        OptionalLong last = crashIds.stream()
                .filter(millisByCrash::containsKey)
                .mapToLong(crash -> Objects.requireNonNull(millisByCrash.get(crash)))
                .max();
        long others = first.isEmpty()
                ? 0
                : millisByCrash.entrySet().stream()
                        .filter(crash -> crash.getValue() >= first.getAsLong() - PRECEDING_MILLIS
                                && crash.getValue() <= last.getAsLong()
                                && !crashIds.contains(crash.getKey()))
                        .count();
        return crashIds.size() + (int) others;
    }
}
