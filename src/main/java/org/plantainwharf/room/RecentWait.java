package org.plantainwharf.room;

/**
 * How long requests of one priority waited at servers lately, as their answers show it, and how much of the servers' work
 * is admitted at this priority and those more urgent in consequence. Answers tell what a daemon's own view of a server does
 * not contain: requests of other daemons since the server reported its load. Invariant: the efficiency stays within
 * bounds. Owned by the control thread.
 */
final class RecentWait {
    private static final double SMOOTHING_WEIGHT = 0.15;

    /** What is left of the average wait after a period without answers. */
    private static final double DECAY = 0.9;

    /** Average wait in target latencies at which the efficiency stays as it is. */
    private static final double INTENDED_WAIT_TARGETS = 0.3;

    /** Relative change of the efficiency in a period for each target latency of difference from the intended wait. */
    private static final double GAIN = 0.3;

    private static final double MINIMUM_EFFICIENCY = 0.2;
    private static final double MAXIMUM_EFFICIENCY = 3;

    /** With fewer answers a period goes on. */
    private static final int MINIMUM_SAMPLES = 3;

    private double averageMillis;
    private boolean sampled;
    private double targets;
    private int samples;
    private double efficiency = 1;

    /** Records how long a request waited. A wait beyond the target counts as one of the target. */
    void record(double waitMillis, long targetMillis) {
        averageMillis += SMOOTHING_WEIGHT * (waitMillis - averageMillis);
        sampled = true;
        targets += Math.min(1, waitMillis / Math.max(1, targetMillis));
        samples++;
    }

    /** Returns the average wait. */
    double averageMillis() {
        return averageMillis;
    }

    /** Returns the work that is admitted over the work that servers would do with nothing beside it. */
    double efficiency() {
        return efficiency;
    }

    /**
     * Ends a period.
     *
     * @param limited whether requests were refused; if not, short waits do not show that more could be admitted
     */
    void endPeriod(boolean limited) {
        averageMillis *= sampled ? 1 : DECAY;
        sampled = false;
        if (samples < MINIMUM_SAMPLES) {
            return;
        }
        double change = GAIN * (INTENDED_WAIT_TARGETS - targets / samples);
        if (limited || change < 0 || efficiency < 1) {
            efficiency *= Math.exp(change);
            efficiency = Math.max(MINIMUM_EFFICIENCY, Math.min(MAXIMUM_EFFICIENCY, efficiency));
        }
        targets = 0;
        samples = 0;
    }
}
