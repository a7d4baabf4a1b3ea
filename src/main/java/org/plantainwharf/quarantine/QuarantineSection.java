package org.plantainwharf.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.StateRecord;

/**
 * Suspect requests and quarantined fingerprints. Crash counts are replicated in the control group; this section has a
 * copy of them and the reports that are not committed yet. Only the controllers of this package modify it. Owned by the
 * control thread.
 */
public final class QuarantineSection {
    /** Crash count at which a request is quarantined. */
    private static final double QUARANTINE_COUNT = 2;

    /** Time after the last crash for which a request is quarantined or suspect. */
    static final long QUARANTINE_MILLIS = 30 * 60 * 1_000;

    /** Number of possible crashes at which a request waits until it is known whether it crashed those servers. */
    private static final int UNRESOLVED_LOSS_LIMIT = 2;

    private final Map<Fingerprint, StateRecord.Crashes> committedCounts = new HashMap<>();
    private final Map<String, Command.ReportCrash> uncommittedReports = new LinkedHashMap<>();
    private final Map<Fingerprint, Long> clearedMillis = new HashMap<>();
    private final List<PossibleCrash> possibleCrashes = new ArrayList<>();
    private final Map<ServerId, Long> reclaimNotices = new HashMap<>();
    private long proposedNanos = Long.MIN_VALUE;

    private QuarantineSection() {}

    /** Returns an empty section. */
    public static QuarantineSection create() {
        return new QuarantineSection();
    }

    /** Returns whether calls with this fingerprint are refused. */
    public boolean isQuarantined(Fingerprint fingerprint, long wallClockMillis) {
        double count = 0;
        StateRecord.Crashes known = committedCounts.get(fingerprint);
        if (known != null && isRecent(known.lastMillis(), wallClockMillis)) {
            count = known.count();
        }
        for (Command.ReportCrash report : uncommittedReports.values()) {
            boolean counted = known != null && known.reportIds().contains(report.reportId());
            if (report.fingerprint().equals(fingerprint)
                    && !counted
                    && isRecent(report.wallClockMillis(), wallClockMillis)) {
                count += report.share();
            }
        }
        return count >= QUARANTINE_COUNT;
    }

    /** Returns whether calls with this fingerprint must run alone on a server. */
    public boolean isSuspect(Fingerprint fingerprint, long wallClockMillis) {
        long last = Long.MIN_VALUE;
        StateRecord.Crashes known = committedCounts.get(fingerprint);
        if (known != null) {
            last = known.lastMillis();
        }
        for (Command.ReportCrash report : uncommittedReports.values()) {
            if (report.fingerprint().equals(fingerprint)) {
                last = Math.max(last, report.wallClockMillis());
            }
        }
        Long cleared = clearedMillis.get(fingerprint);
        return last != Long.MIN_VALUE && isRecent(last, wallClockMillis) && (cleared == null || cleared < last);
    }

    /**
     * Returns whether calls with this fingerprint must not be sent now, because it is not yet known whether they
     * crashed several servers or because they are quarantined.
     */
    public boolean mustWait(Fingerprint fingerprint, long wallClockMillis) {
        int losses = 0;
        for (PossibleCrash crash : possibleCrashes) {
            if (crash.lostRequests().contains(fingerprint)) {
                losses++;
            }
        }
        return losses >= UNRESOLVED_LOSS_LIMIT || isQuarantined(fingerprint, wallClockMillis);
    }

    /** Returns the number of quarantined fingerprints in the replicated counts. */
    public int quarantined(long wallClockMillis) {
        return (int) committedCounts.keySet().stream()
                .filter(fingerprint -> isQuarantined(fingerprint, wallClockMillis))
                .count();
    }

    /** Returns whether a crash of this server was reported for one of these fingerprints. */
    boolean hasCrashReport(ServerId server, Set<Fingerprint> fingerprints) {
        String prefix = server.value() + "/";
        for (Command.ReportCrash report : uncommittedReports.values()) {
            if (fingerprints.contains(report.fingerprint()) && report.reportId().startsWith(prefix)) {
                return true;
            }
        }
        for (Fingerprint fingerprint : fingerprints) {
            StateRecord.Crashes known = committedCounts.get(fingerprint);
            if (known != null && known.reportIds().stream().anyMatch(id -> id.startsWith(prefix))) {
                return true;
            }
        }
        return false;
    }

    /** Replaces the copy of the replicated counts and removes the reports that they include. */
    void setCommittedCounts(Collection<StateRecord.Crashes> records) {
        committedCounts.clear();
        for (StateRecord.Crashes crashes : records) {
            committedCounts.put(crashes.fingerprint(), crashes);
            crashes.reportIds().forEach(uncommittedReports::remove);
        }
    }

    /** Returns the reports that are not known to be committed, by report id. */
    Map<String, Command.ReportCrash> uncommittedReports() {
        return uncommittedReports;
    }

    /** Records that a suspect request completed alone on a server. */
    void clearSuspect(Fingerprint fingerprint, long wallClockMillis) {
        clearedMillis.put(fingerprint, wallClockMillis);
    }

    List<PossibleCrash> possibleCrashes() {
        return possibleCrashes;
    }

    @Nullable
    PossibleCrash possibleCrashes(ServerId server, long incarnation) {
        for (PossibleCrash crash : possibleCrashes) {
            if (crash.server().equals(server) && crash.incarnation() == incarnation) {
                return crash;
            }
        }
        return null;
    }

    /** Returns the time of the reclaim notice of each server, on this host's monotonic clock. */
    Map<ServerId, Long> reclaimNotices() {
        return reclaimNotices;
    }

    long proposedNanos() {
        return proposedNanos;
    }

    void setProposedNanos(long value) {
        proposedNanos = value;
    }

    /** Removes reports and clearances that are older than the quarantine period. */
    void expire(long wallClockMillis) {
        uncommittedReports.values().removeIf(report -> !isRecent(report.wallClockMillis(), wallClockMillis));
        clearedMillis.values().removeIf(millis -> !isRecent(millis, wallClockMillis));
    }

    private static boolean isRecent(long millis, long wallClockMillis) {
        return wallClockMillis - millis < QUARANTINE_MILLIS;
    }
}
