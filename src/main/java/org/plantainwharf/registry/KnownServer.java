package org.plantainwharf.registry;

/**
 * A backend server that has reported to this daemon, directly or through another daemon. Immutable.
 *
 * @param report the newest report
 * @param firstReportNanos when the first report of this start of the server arrived, on this host's monotonic clock
 * @param lastReportNanos when the newest report arrived, on this host's monotonic clock
 */
public record KnownServer(ServerReport report, long firstReportNanos, long lastReportNanos) {
    /** Returns whether the server accepts new work according to its newest report. */
    public boolean ready() {
        return report.phase() == ServerPhase.READY;
    }

    /** Returns the time since the newest report arrived. */
    public long nanosSinceLastReport(long nowNanos) {
        return nowNanos - lastReportNanos;
    }
}
