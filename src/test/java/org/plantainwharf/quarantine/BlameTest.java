package org.plantainwharf.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.StateRecord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against refusals that call a request wrong without proof, or for longer than the proof is worth. */
class BlameTest {
    private static final Fingerprint CONTENT = Fingerprint.ofPromptPart("s1");
    private static final long LAST_CRASH_MILLIS = 1_000_000;
    private static final long CRASH_INTERVAL_MILLIS = 2_000;
    private static final long LEARNED_NANOS = TimeUnit.SECONDS.toNanos(100);

    private final QuarantineSection section = QuarantineSection.create();

    private static String reportId(String crash, Fingerprint content) {
        return crash + "/" + content.value();
    }

    /** Records crashes at which the content was, the last one at {@link #LAST_CRASH_MILLIS}. */
    private Set<String> recordCrashes(int count) {
        List<String> crashes =
                IntStream.range(0, count).mapToObj(index -> "i-" + index + "/7").toList();
        for (int index = 0; index < count; index++) {
            section.crashHistory()
                    .record(
                            crashes.get(index),
                            LAST_CRASH_MILLIS - CRASH_INTERVAL_MILLIS * (count - 1 - index),
                            LEARNED_NANOS - TimeUnit.MILLISECONDS.toNanos(CRASH_INTERVAL_MILLIS * (count - 1 - index)));
        }
        section.recordAttribution(CONTENT, LEARNED_NANOS);
        return crashes.stream().map(crash -> reportId(crash, CONTENT)).collect(Collectors.toSet());
    }

    private void commit(Set<String> reportIds) {
        section.setCommittedCounts(
                List.of(new StateRecord.Crashes(CONTENT, reportIds.size(), LAST_CRASH_MILLIS, reportIds)));
        section.updateBlame(LEARNED_NANOS, LAST_CRASH_MILLIS);
    }

    private void recordOtherCrashes(int count) {
        for (int index = 0; index < count; index++) {
            section.crashHistory()
                    .record(
                            "i-other-" + index + "/7",
                            LAST_CRASH_MILLIS - CRASH_INTERVAL_MILLIS,
                            LEARNED_NANOS - TimeUnit.MILLISECONDS.toNanos(CRASH_INTERVAL_MILLIS));
        }
    }

    private Optional<Blame> blameAfter(long monotonicMillis, long wallClockMillis) {
        return section.blame(
                List.of(CONTENT),
                LEARNED_NANOS + TimeUnit.MILLISECONDS.toNanos(monotonicMillis),
                LAST_CRASH_MILLIS + wallClockMillis);
    }

    private Blame blameAfter(long millis) {
        return blameAfter(millis, millis).orElseThrow();
    }

    @Nested
    class Proof {
        @Test
        void isContentAtAllCrashesOfItsTime() {
            commit(recordCrashes(3));
            Blame.Proven proven = assertInstanceOf(Blame.Proven.class, blameAfter(1_000));
            assertEquals(new Blame.Evidence(CONTENT, 3, 3, 3, 1_000), proven.evidence());
        }

        @Test
        void isMissingIfMostCrashesHappenedWithoutTheContent() {
            Set<String> reports = recordCrashes(3);
            recordOtherCrashes(4);
            commit(reports);
            Blame.Suspected suspected = assertInstanceOf(Blame.Suspected.class, blameAfter(1_000));
            assertEquals(7, suspected.evidence().knownCrashes());
            assertEquals(3_000, suspected.remainingMillis());
        }

        /** Servers that crash together for another reason have shared contents in common. */
        @Test
        void isMissingIfTheServersCrashedTogether() {
            Set<String> reports = new HashSet<>();
            for (int index = 0; index < 9; index++) {
                section.crashHistory().record("i-" + index + "/7", LAST_CRASH_MILLIS - index, LEARNED_NANOS - index);
                reports.add(reportId("i-" + index + "/7", CONTENT));
            }
            section.recordAttribution(CONTENT, LEARNED_NANOS);
            commit(reports);
            assertInstanceOf(Blame.Suspected.class, blameAfter(1_000));
        }

        /** A request that is sent again at once crashes two servers at one moment, and one more crash later proves its part guilty. */
        @Test
        void isContentAtThreeCrashesAtTwoMoments() {
            Set<String> reports = new HashSet<>();
            for (int index = 0; index < 3; index++) {
                long beforeMillis = index == 0 ? 0 : CRASH_INTERVAL_MILLIS + index;
                section.crashHistory()
                        .record(
                                "i-" + index + "/7",
                                LAST_CRASH_MILLIS - beforeMillis,
                                LEARNED_NANOS - TimeUnit.MILLISECONDS.toNanos(beforeMillis));
                reports.add(reportId("i-" + index + "/7", CONTENT));
            }
            section.recordAttribution(CONTENT, LEARNED_NANOS);
            commit(reports);
            assertInstanceOf(Blame.Proven.class, blameAfter(1_000));
        }

        /** Neither clocks that differ nor reports that arrive late show that servers crashed one after the other. */
        @ParameterizedTest
        @CsvSource({"2400000, 0", "0, 2400000"})
        void isMissingIfOnlyOneClockTellsTheCrashesApart(long wallClockMillis, long learnedMillis) {
            Set<String> reports = new HashSet<>();
            for (int index = 0; index < 3; index++) {
                section.crashHistory()
                        .record(
                                "i-" + index + "/7",
                                LAST_CRASH_MILLIS - index * wallClockMillis,
                                LEARNED_NANOS - TimeUnit.MILLISECONDS.toNanos(index * learnedMillis));
                reports.add(reportId("i-" + index + "/7", CONTENT));
            }
            section.recordAttribution(CONTENT, LEARNED_NANOS);
            commit(reports);
            assertInstanceOf(Blame.Suspected.class, blameAfter(1_000));
        }

        /** Nobody could object to the reports of a daemon that is cut off from the control group. */
        @Test
        void isMissingIfTheReportsAreNotCommitted() {
            for (String reportId : recordCrashes(3)) {
                section.uncommittedReports()
                        .put(
                                reportId,
                                new Command.ReportCrash(
                                        reportId, CONTENT, 1, Command.ReportCrash.UNRESTRICTED, LAST_CRASH_MILLIS));
            }
            section.updateBlame(LEARNED_NANOS, LAST_CRASH_MILLIS);
            assertInstanceOf(Blame.Suspected.class, blameAfter(1_000));
        }

        /** The blame on one part must not hide behind the suspicion against another. */
        @Test
        void goesBeforeSuspicion() {
            Fingerprint other = Fingerprint.ofPromptPart("s2");
            Set<String> reports = recordCrashes(6);
            recordOtherCrashes(3);
            Set<String> otherReports = new HashSet<>();
            for (int index = 0; index < 3; index++) {
                otherReports.add(reportId("i-other-" + index + "/7", other));
            }
            List<StateRecord.Crashes> records = new ArrayList<>();
            records.add(new StateRecord.Crashes(CONTENT, 6, LAST_CRASH_MILLIS, reports));
            records.add(new StateRecord.Crashes(other, 3, LAST_CRASH_MILLIS, otherReports));
            section.setCommittedCounts(records);
            section.updateBlame(LEARNED_NANOS, LAST_CRASH_MILLIS);
            long nowNanos = LEARNED_NANOS + TimeUnit.SECONDS.toNanos(1);
            assertInstanceOf(
                    Blame.Proven.class,
                    section.blame(List.of(other, CONTENT), nowNanos, LAST_CRASH_MILLIS + 1_000)
                            .orElseThrow());
        }
    }

    @Nested
    class Ends {
        @Test
        void ofSuspicionComeFourSecondsAfterTheLastCrash() {
            Set<String> reports = recordCrashes(3);
            recordOtherCrashes(4);
            commit(reports);
            assertTrue(blameAfter(3_900, 3_900).isPresent());
            assertTrue(blameAfter(4_000, 4_000).isEmpty());
        }

        /** The time of day of this daemon or of the reporting one may jump. */
        @Test
        void areNotPostponedByAJumpOfTheTimeOfDay() {
            commit(recordCrashes(3));
            assertTrue(blameAfter(59_900, -3_600_000).isPresent());
            assertTrue(blameAfter(60_000, -3_600_000).isEmpty());
        }
    }
}
