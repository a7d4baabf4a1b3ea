package org.plantainwharf.configuration;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.Departure;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.rollout.Rollout;
import org.plantainwharf.rollout.RolloutPhase;
import org.plantainwharf.testing.Samples;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against two contents for one sheet version, fencing numbers that are not unique, and crash reports that are
 * counted twice or for too long.
 */
class ControlStateTest {
    private final ControlState state = ControlState.create();

    private CommandResult apply(long version, String digest) {
        return state.apply(new Command.ApplySheet(Samples.sheet(version, digest)));
    }

    @Nested
    class SheetVersions {
        @Test
        void acceptsOnlyTheFirstContentOfAVersion() {
            assertEquals(new CommandResult.SheetAccepted(5, "one"), apply(5, "one"));
            assertEquals(new CommandResult.SheetConflict(5, "one"), apply(5, "two"));
            assertEquals("one", state.sheet().orElseThrow().digest());
        }

        @Test
        void repeatsTheFirstAnswerToAResendAfterANewerSheet() {
            apply(5, "one");
            apply(6, "next");
            assertEquals(new CommandResult.SheetAccepted(5, "one"), apply(5, "one"));
            assertEquals(6, state.sheet().orElseThrow().version());
        }

        @Test
        void refusesAnOlderVersionThatWasNeverAccepted() {
            apply(6, "next");
            assertEquals(new CommandResult.SheetStale(4, 6), apply(4, "old"));
        }

        @Test
        void restoresAllAnswersFromASnapshot() {
            apply(5, "one");
            apply(6, "next");
            ControlState restored = ControlState.create();
            restored.restore(state.records());
            assertEquals(
                    new CommandResult.SheetConflict(5, "one"),
                    restored.apply(new Command.ApplySheet(Samples.sheet(5, "two"))));
            assertEquals(6, restored.sheet().orElseThrow().version());
            assertEquals(state.records(), restored.records());
        }

        @Test
        void dropsOnlyTheOldestAnswersAfterManySheets() {
            for (int version = 1; version <= ControlState.MAXIMUM_REMEMBERED_SHEETS + 10; version++) {
                apply(version, "digest" + version);
            }
            assertEquals(
                    new CommandResult.SheetStale(1, ControlState.MAXIMUM_REMEMBERED_SHEETS + 10), apply(1, "digest1"));
            assertEquals(new CommandResult.SheetAccepted(11, "digest11"), apply(11, "digest11"));
        }
    }

    @Nested
    class FencingNumbers {
        @Test
        void increaseWithEachLeadershipButNotOnAResend() {
            Command first = new Command.TakeFencingNumber(HostId.of("h1"), 3);
            assertEquals(new CommandResult.FencingNumber(1), state.apply(first));
            assertEquals(new CommandResult.FencingNumber(1), state.apply(first));
            assertEquals(
                    new CommandResult.FencingNumber(2), state.apply(new Command.TakeFencingNumber(HostId.of("h2"), 4)));
        }
    }

    @Nested
    class CrashCounts {
        private final Fingerprint fingerprint = Fingerprint.of("f");

        @Test
        void countEachReportOnce() {
            state.apply(new Command.ReportCrash("r1", fingerprint, 1, Command.ReportCrash.UNRESTRICTED, 1_000));
            state.apply(new Command.ReportCrash("r1", fingerprint, 1, Command.ReportCrash.UNRESTRICTED, 1_000));
            assertEquals(1, state.crashes().iterator().next().count());
        }

        @Test
        void restartAfterTheRetentionPeriod() {
            state.apply(new Command.ReportCrash("r1", fingerprint, 1, Command.ReportCrash.UNRESTRICTED, 1_000));
            long later = 1_000 + ControlState.CRASH_RETENTION_MILLIS;
            state.apply(new Command.ReportCrash("r2", fingerprint, 1, Command.ReportCrash.UNRESTRICTED, later));
            assertEquals(1, state.crashes().iterator().next().count());
        }

        /** Servers that crash together would count as several crashes of each content that they have in common. */
        @Test
        void ignoreReportsThatWereSentBeforeTheLastOneWasKnown() {
            state.apply(new Command.ReportCrash("r1", fingerprint, 1, 0, 1_000));
            state.apply(new Command.ReportCrash("r2", fingerprint, 1, 0, 1_000));
            state.apply(new Command.ReportCrash("r3", fingerprint, 1, 1, 1_000));
            assertEquals(Set.of("r1", "r3"), state.crashes().iterator().next().reportIds());
        }

        @Test
        void areWithdrawnByARunWithoutACrash() {
            state.apply(new Command.ReportCrash("r1", fingerprint, 1, 0, 1_000));
            state.apply(new Command.WithdrawCrashes(fingerprint, Set.of("r1")));
            assertTrue(state.crashes().isEmpty());
        }

        /** The run may have ended before the crashes that its daemon did not know of. */
        @Test
        void areKeptIfTheWithdrawalDoesNotKnowAllOfThem() {
            state.apply(new Command.ReportCrash("r1", fingerprint, 1, 0, 1_000));
            state.apply(new Command.ReportCrash("r2", fingerprint, 1, 1, 1_000));
            state.apply(new Command.WithdrawCrashes(fingerprint, Set.of("r1")));
            assertEquals(2, state.crashes().iterator().next().count());
        }

        @Test
        void areKeptForABoundedNumberOfContentsAndCrashes() {
            for (int index = 0; index < ControlState.MAXIMUM_REMEMBERED_CRASHES + 10; index++) {
                Fingerprint content = Fingerprint.of("content " + index);
                state.apply(new Command.ReportCrash("r", content, 1, Command.ReportCrash.UNRESTRICTED, index));
            }
            for (int index = 0; index < ControlState.MAXIMUM_CRASHES_PER_CONTENT + 10; index++) {
                state.apply(new Command.ReportCrash(
                        "r" + index, fingerprint, 1, Command.ReportCrash.UNRESTRICTED, 1_000_000));
            }
            assertEquals(
                    ControlState.MAXIMUM_REMEMBERED_CRASHES, state.crashes().size());
            assertTrue(state.crashes().stream()
                    .allMatch(crashes -> crashes.reportIds().size() <= ControlState.MAXIMUM_CRASHES_PER_CONTENT));
        }
    }

    /** Guards against departures of a day with thousands of servers that are lost too early or kept for ever. */
    @Nested
    class Departures {
        private void depart(String server, long start, boolean deregistered, long wallClockMillis) {
            state.apply(new Command.RecordDeparture(
                    new Departure(ServerId.of(server), start, deregistered), wallClockMillis));
        }

        private boolean departed(String server, long start) {
            return state.hasDeparted(new Departure(ServerId.of(server), start, false));
        }

        @Test
        void areBoundedInNumberAndKeepTheNewest() {
            for (int server = 0; server < Departure.MAXIMUM_REMEMBERED + 100; server++) {
                depart("i-" + server, 1, true, server);
            }
            assertEquals(Departure.MAXIMUM_REMEMBERED, state.departures().size());
            assertEquals(false, departed("i-99", 1));
            assertEquals(true, departed("i-100", 1));
        }

        @Test
        void areDroppedAfterTheRetention() {
            depart("i-1", 1, true, 0);
            depart("i-2", 1, true, ControlState.DEPARTURE_RETENTION_MILLIS - 1);
            assertEquals(true, departed("i-1", 1));
            depart("i-3", 1, true, ControlState.DEPARTURE_RETENTION_MILLIS);
            assertEquals(false, departed("i-1", 1));
            assertEquals(true, departed("i-2", 1));
        }

        @Test
        void areKeptBySnapshotsAndNotReplacedByEarlierOnes() {
            depart("i-1", 2, true, 0);
            depart("i-1", 1, true, 0);
            depart("i-1", 2, false, 0);
            ControlState restored = ControlState.create();
            restored.restore(state.records());
            assertEquals(List.of(new Departure(ServerId.of("i-1"), 2, true)), restored.departures());
        }
    }

    /** Guards against a version that began streams and is not listed, and against lists that grow without bound. */
    @Nested
    class ListedVersions {
        private static final ServiceName SERVICE = ServiceName.of("engines");
        private static final ServerVersion OLD = ServerVersion.of("1.9");
        private static final ServerVersion NEW = ServerVersion.of("2.0-rc");

        private CommandResult list(ServerVersion version) {
            return state.apply(new Command.ListServerVersion(SERVICE, version));
        }

        private CommandResult close(ServerVersion version) {
            return state.apply(new Command.CloseServerVersion(SERVICE, version));
        }

        private CommandResult retire(ServerVersion version) {
            return state.apply(new Command.RetireServerVersion(SERVICE, version));
        }

        @Test
        void stayListedAfterTheyAreClosedButBeginNoStream() {
            list(OLD);
            list(NEW);
            assertEquals(new CommandResult.Done(), close(OLD));
            assertEquals(Set.of(OLD, NEW), state.listedVersions(SERVICE));
            assertEquals(false, state.mayBeginStreams(SERVICE, OLD));
            assertEquals(true, state.mayBeginStreams(SERVICE, NEW));
        }

        /** A repeated or late command must not remove a version whose servers came back. */
        /** Streams were refused when all servers of the service had been away, until the log listed the version anew. */
        @Test
        void keepTheLastOpenOneOpen() {
            list(OLD);
            list(NEW);
            close(OLD);
            assertEquals(new CommandResult.Ignored(), close(NEW));
            assertTrue(state.mayBeginStreams(SERVICE, NEW));
        }

        @Test
        void areRetiredOnlyAfterTheyWereClosed() {
            list(OLD);
            list(NEW);
            assertEquals(new CommandResult.Ignored(), retire(OLD));
            close(OLD);
            list(OLD);
            assertEquals(new CommandResult.Ignored(), retire(OLD));
            close(OLD);
            close(OLD);
            assertEquals(Set.of(OLD, NEW), state.listedVersions(SERVICE));
            assertEquals(new CommandResult.Done(), retire(OLD));
            assertEquals(Set.of(NEW), state.listedVersions(SERVICE));
        }

        @Test
        void keepTheLastVersionOfAService() {
            list(OLD);
            assertEquals(new CommandResult.Ignored(), close(OLD));
            list(NEW);
            close(OLD);
            close(NEW);
            retire(OLD);
            assertEquals(new CommandResult.Ignored(), retire(NEW));
            assertEquals(Set.of(NEW), state.listedVersions(SERVICE));
        }

        @Test
        void areBoundedInNumber() {
            for (int index = 0; index < ControlState.MAXIMUM_LISTED_VERSIONS; index++) {
                assertEquals(new CommandResult.Done(), list(ServerVersion.of("v" + index)));
            }
            assertEquals(new CommandResult.Ignored(), list(NEW));
            assertEquals(false, state.mayBeginStreams(SERVICE, NEW));
            assertEquals(new CommandResult.Done(), list(ServerVersion.of("v0")));
            for (int index = 1; index < ControlState.MAXIMUM_LISTED_SERVICES; index++) {
                state.apply(new Command.ListServerVersion(ServiceName.of("service-" + index), NEW));
            }
            assertEquals(
                    new CommandResult.Ignored(),
                    state.apply(new Command.ListServerVersion(ServiceName.of("one-more"), NEW)));
        }

        @Test
        void areKeptBySnapshots() {
            list(OLD);
            list(NEW);
            list(ServerVersion.unstated());
            close(NEW);
            ControlState restored = ControlState.create();
            restored.restore(state.records());
            assertEquals(Set.of(OLD, NEW, ServerVersion.unstated()), restored.listedVersions(SERVICE));
            assertEquals(true, restored.mayBeginStreams(SERVICE, OLD));
            assertEquals(false, restored.mayBeginStreams(SERVICE, NEW));
        }
    }

    /** Guards against a verdict that is taken back, two rollouts of a service at a time, and orders that are refused when resent. */
    @Nested
    class Rollouts {
        private static final ServiceName SERVICE = ServiceName.of("engines");
        private static final ServerVersion TARGET = ServerVersion.of("v2");
        private static final long BEGUN_MILLIS = 1_000_000;

        private CommandResult begin(ServerVersion target, long durationMillis, long wallClockMillis) {
            return state.apply(new Command.BeginRollout(SERVICE, target, durationMillis, wallClockMillis));
        }

        private CommandResult finish(long number, RolloutPhase verdict) {
            return state.apply(new Command.FinishRollout(SERVICE, number, verdict));
        }

        private Rollout newest() {
            return state.rollout(SERVICE).orElseThrow();
        }

        @Test
        void answerTheSameOrderAlikeWhileInProgressAndShortlyAfter() {
            CommandResult first = begin(TARGET, 12_000, BEGUN_MILLIS);
            assertEquals(first, begin(TARGET, 12_000, BEGUN_MILLIS + 4_000));
            finish(1, new RolloutPhase.RolledBack("failures"));
            assertEquals(new CommandResult.RolloutHeld(newest()), begin(TARGET, 12_000, BEGUN_MILLIS + 5_000));
            assertEquals(1, newest().number());
        }

        @Test
        void conflictWithAnotherOrderWhileInProgress() {
            begin(TARGET, 12_000, BEGUN_MILLIS);
            assertEquals(
                    new CommandResult.RolloutConflict(newest()),
                    begin(ServerVersion.of("v3"), 12_000, BEGUN_MILLIS + 100));
            assertEquals(new CommandResult.RolloutConflict(newest()), begin(TARGET, 13_000, BEGUN_MILLIS + 100));
        }

        @Test
        void areFollowedByAnotherOnlyAfterTheVerdict() {
            begin(TARGET, 12_000, BEGUN_MILLIS);
            finish(1, new RolloutPhase.RolledBack("failures"));
            begin(TARGET, 12_000, BEGUN_MILLIS + ControlState.ROLLOUT_RESEND_MILLIS);
            assertEquals(2, newest().number());
            assertEquals(new RolloutPhase.Observing(), newest().phase());
        }

        /** The version that serves alone would get only the share of a version under watch, and the rest be refused. */
        @Test
        void areNotBegunAgainForTheCompletedVersion() {
            begin(TARGET, 12_000, BEGUN_MILLIS);
            finish(1, new RolloutPhase.Completed());
            Rollout completed = newest();
            long later = BEGUN_MILLIS + 10 * ControlState.ROLLOUT_RESEND_MILLIS;
            assertEquals(new CommandResult.RolloutHeld(completed), begin(TARGET, 12_000, later));
            assertEquals(new CommandResult.RolloutHeld(completed), begin(TARGET, 20_000, BEGUN_MILLIS + 20_000));
            assertEquals(completed, newest());
            begin(ServerVersion.of("v3"), 12_000, later);
            assertEquals(2, newest().number());
        }

        @Test
        void onlyMoveOn() {
            begin(TARGET, 12_000, BEGUN_MILLIS);
            state.apply(new Command.AdvanceRollout(SERVICE, 1, new RolloutPhase.Growing(500)));
            assertEquals(
                    new CommandResult.Ignored(),
                    state.apply(new Command.AdvanceRollout(SERVICE, 1, new RolloutPhase.Growing(250))));
            assertEquals(
                    new CommandResult.Ignored(),
                    state.apply(new Command.AdvanceRollout(SERVICE, 2, new RolloutPhase.Retiring())));
            assertEquals(
                    new CommandResult.Ignored(),
                    state.apply(new Command.AdvanceRollout(SERVICE, 1, new RolloutPhase.Completed())));
            assertEquals(new RolloutPhase.Growing(500), newest().phase());
        }

        @Test
        void keepTheFirstVerdict() {
            begin(TARGET, 12_000, BEGUN_MILLIS);
            RolloutPhase rolledBack = new RolloutPhase.RolledBack("failures");
            assertEquals(new CommandResult.Done(), finish(1, rolledBack));
            assertEquals(new CommandResult.Done(), finish(1, rolledBack));
            assertEquals(new CommandResult.Ignored(), finish(1, new RolloutPhase.Completed()));
            assertEquals(
                    new CommandResult.Ignored(),
                    state.apply(new Command.AdvanceRollout(SERVICE, 1, new RolloutPhase.Retiring())));
            assertEquals(rolledBack, newest().phase());
        }

        /** A copy of an order may be held back in a daemon that stands still, while operators go on at others. */
        @Test
        void areNotBegunAgainByAResendAfterALaterRollout() {
            begin(TARGET, 12_000, BEGUN_MILLIS);
            finish(1, new RolloutPhase.RolledBack("failures"));
            begin(ServerVersion.of("v3"), 12_000, BEGUN_MILLIS + 5_000);
            finish(2, new RolloutPhase.Completed());
            Rollout later = newest();
            ControlState restored = ControlState.create();
            restored.restore(state.records());
            for (ControlState each : List.of(state, restored)) {
                CommandResult.RolloutHeld held = (CommandResult.RolloutHeld)
                        each.apply(new Command.BeginRollout(SERVICE, TARGET, 12_000, BEGUN_MILLIS + 9_000));
                assertEquals(1, held.rollout().number());
                assertEquals(
                        new RolloutPhase.RolledBack("failures"), held.rollout().phase());
                assertEquals(later, each.rollout(SERVICE).orElseThrow());
            }
            assertEquals(state.records(), restored.records());
        }

        @Test
        void areForgottenAsFormerOnesAfterTheTimeOfResends() {
            for (int index = 0; index < 40; index++) {
                begin(
                        ServerVersion.of("v" + index % 2),
                        12_000,
                        BEGUN_MILLIS + index * ControlState.ROLLOUT_RESEND_MILLIS);
                finish(index + 1, new RolloutPhase.Completed());
            }
            assertEquals(40, newest().number());
            assertEquals(1, rolloutRecords());
            for (int index = 0; index < 40; index++) {
                begin(ServerVersion.of("w" + index), 12_000, BEGUN_MILLIS);
                finish(41 + index, new RolloutPhase.Completed());
            }
            assertEquals(1 + ControlState.MAXIMUM_FORMER_ROLLOUTS, rolloutRecords());
        }

        private long rolloutRecords() {
            return state.records().stream()
                    .filter(StateRecord.NewestRollout.class::isInstance)
                    .count();
        }

        @Test
        void areReadWithTheirPhase() {
            assertEquals(new CommandResult.NoRollout(), state.apply(new Command.ReadRollout(SERVICE)));
            begin(TARGET, 12_000, BEGUN_MILLIS);
            assertEquals(new CommandResult.RolloutHeld(newest()), state.apply(new Command.ReadRollout(SERVICE)));
        }

        @Test
        void areKeptBySnapshots() {
            begin(TARGET, 12_000, BEGUN_MILLIS);
            state.apply(new Command.AdvanceRollout(SERVICE, 1, new RolloutPhase.Growing(250)));
            ControlState restored = ControlState.create();
            restored.restore(state.records());
            assertEquals(state.rollout(SERVICE), restored.rollout(SERVICE));
        }

        @Test
        void areBoundedInNumber() {
            for (int index = 0; index < ControlState.MAXIMUM_ROLLOUT_SERVICES; index++) {
                state.apply(new Command.BeginRollout(ServiceName.of("s" + index), TARGET, 1_000, BEGUN_MILLIS));
            }
            assertEquals(new CommandResult.Ignored(), begin(TARGET, 1_000, BEGUN_MILLIS));
        }
    }
}
