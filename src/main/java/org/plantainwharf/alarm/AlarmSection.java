package org.plantainwharf.alarm;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RankName;

/**
 * Raised alarms, and the state from which they are decided. Written by the controllers of this package. Owned by the
 * control thread.
 */
public final class AlarmSection {
    /** State of one objective. Owned by the control thread. */
    static final class ObjectiveState {
        private OptionalLong violatedSinceNanos = OptionalLong.empty();
        private OptionalLong healthySinceNanos = OptionalLong.empty();
        private long violatedSinceWallClockMillis;
        private boolean raised;

        /**
         * Records whether the objective is violated now, and since when. While the alarm is raised, the start of the
         * violation is kept across healthy periods.
         */
        void update(boolean violated, long nowNanos, long wallClockMillis) {
            if (violated && violatedSinceNanos.isEmpty()) {
                violatedSinceNanos = OptionalLong.of(nowNanos);
                violatedSinceWallClockMillis = wallClockMillis;
            }
            if (!violated && healthySinceNanos.isEmpty()) {
                healthySinceNanos = OptionalLong.of(nowNanos);
            }
            if (violated) {
                healthySinceNanos = OptionalLong.empty();
            } else if (!raised) {
                violatedSinceNanos = OptionalLong.empty();
            }
        }

        boolean violatedFor(long nanos, long nowNanos) {
            return violatedSinceNanos.isPresent() && nowNanos - violatedSinceNanos.getAsLong() >= nanos;
        }

        boolean healthyFor(long nanos, long nowNanos) {
            return healthySinceNanos.isPresent() && nowNanos - healthySinceNanos.getAsLong() >= nanos;
        }

        long violationStartMillis() {
            return violatedSinceWallClockMillis;
        }

        boolean raised() {
            return raised;
        }

        void markRaised() {
            raised = true;
        }

        void markCleared() {
            raised = false;
            violatedSinceNanos = OptionalLong.empty();
        }
    }

    private final Map<RankName, BurnRateWindow> burnRates = new HashMap<>();
    private final Map<String, ObjectiveState> objectives = new TreeMap<>();
    private final Map<HostId, Long> laggingSinceNanos = new HashMap<>();
    private OptionalLong lastReviewNanos = OptionalLong.empty();
    private OptionalLong firstReviewNanos = OptionalLong.empty();

    private AlarmSection() {}

    /** Returns an empty section. */
    public static AlarmSection create() {
        return new AlarmSection();
    }

    /** Returns the objectives for which this host has raised an alarm that is not cleared yet. */
    public Set<String> raised() {
        return objectives.entrySet().stream()
                .filter(entry -> entry.getValue().raised())
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    BurnRateWindow burnRates(RankName rank, long nowNanos) {
        return burnRates.computeIfAbsent(rank, absent -> BurnRateWindow.create(nowNanos));
    }

    Map<RankName, BurnRateWindow> allBurnRates() {
        return burnRates;
    }

    ObjectiveState objective(String name) {
        return objectives.computeIfAbsent(name, absent -> new ObjectiveState());
    }

    /** Returns since when each linked daemon has had an older sheet than this host; other daemons have no entry. */
    Map<HostId, Long> laggingSinceNanos() {
        return laggingSinceNanos;
    }

    OptionalLong lastReviewNanos() {
        return lastReviewNanos;
    }

    OptionalLong firstReviewNanos() {
        return firstReviewNanos;
    }

    void recordReview(long nowNanos) {
        lastReviewNanos = OptionalLong.of(nowNanos);
        if (firstReviewNanos.isEmpty()) {
            firstReviewNanos = lastReviewNanos;
        }
    }
}
