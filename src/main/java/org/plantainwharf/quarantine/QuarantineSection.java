package org.plantainwharf.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

    /**
     * Time for which content that is blamed for the minimum of crashes is refused after the last one. It doubles with
     * each further crash up to {@link #MAXIMUM_BLAME_MILLIS}, so that content that was blamed wrongly is soon tried again
     * and other content seldom.
     */
    private static final long MINIMUM_BLAME_MILLIS = 60 * 1_000;

    private static final long MAXIMUM_BLAME_MILLIS = 4 * 60 * 1_000;

    /** The same for content whose crashes are not recorded or are few among those of its time. */
    private static final long MINIMUM_SUSPICION_MILLIS = 4_000;

    /**
     * Time from the blame, or from the last crash if that is known to be earlier, to the first refusal. Daemons that have
     * seen the content run without a crash object within this time.
     */
    private static final long OBJECTION_NANOS = 400_000_000;

    /** Time for which a reclaim notice is kept; a notice precedes its reclaim by seconds. */
    private static final long RECLAIM_NOTICE_RETENTION_NANOS = 300_000_000_000L;

    /** Number of possible crashes at which a request waits until it is known whether it crashed those servers. */
    private static final int UNRESOLVED_LOSS_LIMIT = 2;

    private final Map<Fingerprint, StateRecord.Crashes> committedCounts = new HashMap<>();
    private final Map<String, Command.ReportCrash> uncommittedReports = new LinkedHashMap<>();
    private final Map<Fingerprint, Long> clearedMillis = new HashMap<>();
    private final List<PossibleCrash> possibleCrashes = new ArrayList<>();
    private final Map<ServerId, Long> reclaimNotices = new HashMap<>();
    private final SoundRuns soundRuns = new SoundRuns();
    private final Map<Fingerprint, Long> withdrawalDueNanos = new HashMap<>();
    private final Map<Fingerprint, Long> blamedSinceNanos = new HashMap<>();
    private final Map<Fingerprint, Long> attributionNanos = new HashMap<>();
    private final CrashHistory crashHistory = new CrashHistory();
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

    /** Returns the strongest blame on one of these contents; empty if requests with them may be sent. */
    public Optional<Blame> blame(Collection<Fingerprint> contents, long nowNanos, long wallClockMillis) {
        if (blamedSinceNanos.isEmpty()) {
            return Optional.empty();
        }
        Optional<Blame> suspected = Optional.empty();
        for (Fingerprint content : contents) {
            Optional<Blame> blame = blame(content, nowNanos, wallClockMillis);
            if (blame.isPresent() && blame.get() instanceof Blame.Proven) {
                return blame;
            }
            suspected = suspected.or(() -> blame);
        }
        return suspected;
    }

    private Optional<Blame> blame(Fingerprint content, long nowNanos, long wallClockMillis) {
        @Nullable Long since = blamedSinceNanos.get(content);
        long sinceCrashMillis = wallClockMillis - lastCrashMillis(content);
        if (since == null || nowNanos - since < OBJECTION_NANOS && sinceCrashMillis < OBJECTION_NANOS / 1_000_000) {
            return Optional.empty();
        }
        Set<String> crashIds = crashIds(content);
        Blame.Evidence evidence = new Blame.Evidence(
                content,
                crashIds.size(),
                crashHistory.crashesDuring(crashIds),
                crashHistory.moments(crashIds),
                sinceCrashMillis);
        boolean strong =
                committedReports(content).size() >= CrashAttribution.MINIMUM_CRASHES && evidence.explainsCrashes();
        boolean proven = strong && evidence.isConclusive();
        long remainingMillis = blameMillis(strong, crashIds.size()) - sinceLearned(content, sinceCrashMillis, nowNanos);
        if (remainingMillis <= 0) {
            return Optional.empty();
        }
        return Optional.of(proven ? new Blame.Proven(evidence) : new Blame.Suspected(evidence, remainingMillis));
    }

    /** Returns the age of the last crash. Neither the time of day, which may jump, nor a restart prolongs the blame. */
    private long sinceLearned(Fingerprint content, long sinceCrashMillis, long nowNanos) {
        @Nullable Long learnedNanos = attributionNanos.get(content);
        return learnedNanos == null
                ? sinceCrashMillis
                : Math.max(sinceCrashMillis, (nowNanos - learnedNanos) / 1_000_000);
    }

    private Set<String> crashIds(Fingerprint content) {
        Set<String> crashIds = new HashSet<>();
        committedReports(content).forEach(reportId -> crashIds.add(CrashReports.crashId(reportId, content)));
        uncommittedReports.values().stream()
                .filter(report -> report.fingerprint().equals(content))
                .forEach(report -> crashIds.add(CrashReports.crashId(report.reportId(), content)));
        return crashIds;
    }

    /** Returns the crashes that any daemon reported. */
    CrashHistory crashHistory() {
        return crashHistory;
    }

    private long lastCrashMillis(Fingerprint content) {
        StateRecord.@Nullable Crashes known = committedCounts.get(content);
        long last = known == null ? 0 : known.lastMillis();
        for (Command.ReportCrash report : uncommittedReports.values()) {
            if (report.fingerprint().equals(content)) {
                last = Math.max(last, report.wallClockMillis());
            }
        }
        return last;
    }

    private static long blameMillis(boolean strong, int crashes) {
        long millis = strong ? MINIMUM_BLAME_MILLIS : MINIMUM_SUSPICION_MILLIS;
        for (int crash = CrashAttribution.MINIMUM_CRASHES; crash < crashes && millis < MAXIMUM_BLAME_MILLIS; crash++) {
            millis *= 2;
        }
        return Math.min(millis, MAXIMUM_BLAME_MILLIS);
    }

    /** Returns the number of crashes attributed to a content, whether committed or not. */
    int attributedCrashes(Fingerprint content) {
        long uncommitted = uncommittedReports.values().stream()
                .filter(report -> report.fingerprint().equals(content))
                .count();
        return committedReports(content).size() + (int) uncommitted;
    }

    /** Records when this daemon last learned of a crash attributed to a content. */
    void recordAttribution(Fingerprint content, long nowNanos) {
        attributionNanos.put(content, nowNanos);
    }

    /** Returns whether a request with this content was sent when this daemon knew of all crashes attributed to it. */
    boolean sentAfterAttributions(Fingerprint content, long sentNanos) {
        @Nullable Long last = attributionNanos.get(content);
        return last == null || sentNanos - last > 0;
    }

    /** Attributes the known crashes to contents anew; returns the contents that were not blamed before. */
    List<Fingerprint> updateBlame(long nowNanos, long wallClockMillis) {
        Map<Fingerprint, CrashAttribution.Presence> presences = new HashMap<>();
        committedCounts.forEach((content, known) -> {
            if (isRecent(known.lastMillis(), wallClockMillis)
                    && attributedCrashes(content) >= CrashAttribution.MINIMUM_CRASHES) {
                addPresence(presences, content, known.reportIds(), known.count());
            }
        });
        uncommittedReports
                .values()
                .forEach(report ->
                        addPresence(presences, report.fingerprint(), Set.of(report.reportId()), report.share()));
        Set<Fingerprint> blamed = CrashAttribution.blamed(presences);
        blamedSinceNanos.keySet().retainAll(blamed);
        List<Fingerprint> added = blamed.stream()
                .filter(content -> !blamedSinceNanos.containsKey(content))
                .toList();
        added.forEach(content -> blamedSinceNanos.put(content, nowNanos));
        return added;
    }

    private static void addPresence(
            Map<Fingerprint, CrashAttribution.Presence> presences,
            Fingerprint content,
            Set<String> reportIds,
            double count) {
        Set<String> crashIds = new HashSet<>();
        reportIds.forEach(reportId -> crashIds.add(CrashReports.crashId(reportId, content)));
        presences.merge(content, new CrashAttribution.Presence(crashIds, count), CrashAttribution.Presence::plus);
    }

    /** Returns the ids of the committed crash reports on this content. */
    Set<String> committedReports(Fingerprint content) {
        StateRecord.@Nullable Crashes known = committedCounts.get(content);
        return known == null ? Set.of() : known.reportIds();
    }

    /** Returns the contents that servers processed without crashing. */
    SoundRuns soundRuns() {
        return soundRuns;
    }

    /** Returns when this daemon objects to the crash reports on a content. */
    Map<Fingerprint, Long> withdrawalDueNanos() {
        return withdrawalDueNanos;
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
        attributionNanos
                .keySet()
                .removeIf(content -> !committedCounts.containsKey(content)
                        && uncommittedReports.values().stream()
                                .noneMatch(report -> report.fingerprint().equals(content)));
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

    /** Removes reports and clearances that are older than the quarantine period, and reclaim notices. */
    void expire(long nowNanos, long wallClockMillis) {
        uncommittedReports.values().removeIf(report -> !isRecent(report.wallClockMillis(), wallClockMillis));
        clearedMillis.values().removeIf(millis -> !isRecent(millis, wallClockMillis));
        reclaimNotices.values().removeIf(nanos -> nowNanos - nanos > RECLAIM_NOTICE_RETENTION_NANOS);
    }

    private static boolean isRecent(long millis, long wallClockMillis) {
        return wallClockMillis - millis < QUARANTINE_MILLIS;
    }
}
