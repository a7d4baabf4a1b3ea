package org.plantainwharf.registry;

/**
 * A backend server as this daemon knows it. Immutable.
 *
 * @param report the newest report
 * @param firstReportNanos when this start of the server was first heard of
 * @param lastReportNanos when the newest report arrived, on this host's monotonic clock
 */
public record KnownServer(ServerReport report, long firstReportNanos, long lastReportNanos) {
    /** Says whether it takes new work as far as its reports tell. */
    public boolean ready() {
        return report.phase() == ServerPhase.READY;
    }

    /** Returns how long nothing was heard of it. */
    public long nanosSinceLastReport(long nowNanos) {
        return nowNanos - lastReportNanos;
    }
}
