package org.plantainwharf.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * When the crashes happened that any daemon reported, whatever contents they were attributed to; at most {@link
 * #MAXIMUM_CRASHES} are kept, the newest. Owned by the control thread.
 */
final class CrashHistory {
    private static final int MAXIMUM_CRASHES = 1_024;

    /** Crashes that shortly precede those of a content show that there is another cause as well. */
    private static final long PRECEDING_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * Servers that crash within this time may crash together. Shorter than the time in which a request that crashed a
     * server crashes the next one.
     */
    private static final long MOMENT_MILLIS = 200;

    /**
     * Time of a crash.
     *
     * @param wallClockMillis time of the first report, on the clock of the daemon that sent it
     * @param learnedNanos time at which this daemon learned of the crash, on its monotonic clock
     */
    private record Time(long wallClockMillis, long learnedNanos) {
        /**
         * Returns whether the crashes certainly happened one after the other. Clocks of daemons differ, and reports of one
         * crash may arrive seconds after those of another, so neither time suffices by itself.
         */
        boolean isApartFrom(Time other) {
            return Math.abs(wallClockMillis - other.wallClockMillis) >= MOMENT_MILLIS
                    && Math.abs(learnedNanos - other.learnedNanos) >= TimeUnit.MILLISECONDS.toNanos(MOMENT_MILLIS);
        }
    }

    private final Map<String, Time> timeByCrash = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Time> eldest) {
            return size() > MAXIMUM_CRASHES;
        }
    };

    /** Records a crash. Further reports of the same crash have no effect. */
    void record(String crashId, long wallClockMillis, long nowNanos) {
        timeByCrash.putIfAbsent(crashId, new Time(wallClockMillis, nowNanos));
    }

    private List<Time> times(Collection<String> crashIds) {
        return crashIds.stream()
                .filter(timeByCrash::containsKey)
                .map(crash -> Objects.requireNonNull(timeByCrash.get(crash)))
                .sorted(Comparator.comparingLong(Time::learnedNanos).thenComparingLong(Time::wallClockMillis))
                .toList();
    }

    /**
     * Returns how many crashes are known, these included, from shortly before the first to the moment of the last of
     * these crashes. Uses the monotonic clock, since the clocks of reporting daemons may differ by an hour.
     */
    int crashesDuring(Collection<String> crashIds) {
        List<Time> times = times(crashIds);
        if (times.isEmpty()) {
            return crashIds.size();
        }
        long begin = times.getFirst().learnedNanos() - PRECEDING_NANOS;
        long end = times.getLast().learnedNanos() + TimeUnit.MILLISECONDS.toNanos(MOMENT_MILLIS);
        long others = timeByCrash.entrySet().stream()
                .filter(crash -> crash.getValue().learnedNanos() - begin >= 0
                        && end - crash.getValue().learnedNanos() >= 0
                        && !crashIds.contains(crash.getKey()))
                .count();
        return crashIds.size() + (int) others;
    }

    /** Returns at how many different moments these crashes happened. Servers that crash together count as one. */
    int moments(Collection<String> crashIds) {
        List<Time> moments = new ArrayList<>();
        for (Time time : times(crashIds)) {
            if (moments.stream().allMatch(time::isApartFrom)) {
                moments.add(time);
            }
        }
        return moments.size();
    }
}
