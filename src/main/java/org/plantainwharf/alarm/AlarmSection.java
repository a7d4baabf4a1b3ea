package org.plantainwharf.alarm;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RankName;

/** Alarms raised. Written by the controllers of this package. Owned by the control thread. */
public final class AlarmSection {
    /** What is observed of one promise. */
    static final class Watch {
        private OptionalLong troubleNanos = OptionalLong.empty();
        private OptionalLong calmNanos = OptionalLong.empty();
        private long troubleWallClockMillis;
        private boolean raised;

        /** Notes whether the promise is in trouble now and keeps since when that has been so. */
        void observe(boolean trouble, long nowNanos, long wallClockMillis) {
            if (trouble && troubleNanos.isEmpty()) {
                troubleNanos = OptionalLong.of(nowNanos);
                troubleWallClockMillis = wallClockMillis;
            }
            if (!trouble && calmNanos.isEmpty()) {
                calmNanos = OptionalLong.of(nowNanos);
            }
            if (trouble) {
                calmNanos = OptionalLong.empty();
            } else if (!raised) {
                troubleNanos = OptionalLong.empty();
            }
        }

        boolean inTroubleFor(long nanos, long nowNanos) {
            return troubleNanos.isPresent() && nowNanos - troubleNanos.getAsLong() >= nanos;
        }

        boolean calmFor(long nanos, long nowNanos) {
            return calmNanos.isPresent() && nowNanos - calmNanos.getAsLong() >= nanos;
        }

        long sinceWallClockMillis() {
            return troubleWallClockMillis;
        }

        boolean raised() {
            return raised;
        }

        void raise() {
            raised = true;
        }

        void clear() {
            raised = false;
            troubleNanos = OptionalLong.empty();
        }
    }

    private final Map<RankName, BurnWindow> service = new HashMap<>();
    private final Map<String, Watch> watches = new TreeMap<>();
    private final Map<HostId, Long> laggingSinceNanos = new HashMap<>();
    private OptionalLong lastReviewNanos = OptionalLong.empty();
    private OptionalLong firstReviewNanos = OptionalLong.empty();

    private AlarmSection() {}

    /** Returns an empty section. */
    public static AlarmSection create() {
        return new AlarmSection();
    }

    /** Returns the promises for which this host has raised an alarm that is not cleared. */
    public Set<String> raised() {
        return watches.entrySet().stream()
                .filter(entry -> entry.getValue().raised())
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    BurnWindow service(RankName rank, long nowNanos) {
        return service.computeIfAbsent(rank, absent -> BurnWindow.create(nowNanos));
    }

    Map<RankName, BurnWindow> services() {
        return service;
    }

    Watch watch(String promise) {
        return watches.computeIfAbsent(promise, absent -> new Watch());
    }

    /** Returns since when each linked daemon has had an older sheet than this host. */
    Map<HostId, Long> laggingSinceNanos() {
        return laggingSinceNanos;
    }

    OptionalLong lastReviewNanos() {
        return lastReviewNanos;
    }

    OptionalLong firstReviewNanos() {
        return firstReviewNanos;
    }

    void reviewed(long nowNanos) {
        lastReviewNanos = OptionalLong.of(nowNanos);
        if (firstReviewNanos.isEmpty()) {
            firstReviewNanos = lastReviewNanos;
        }
    }
}
