package org.plantainwharf.alarm;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.Content;
import org.plantainwharf.call.Origin;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.effect.AlarmEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.membership.Member;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Sheet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against false alarms, which lead operators to switch alarms off, and against violations without an alarm. */
class AlarmControllerTest {
    private static final long SECOND = 1_000_000_000;
    private static final int DAY_SECONDS = 24 * 3_600;
    private static final HostId SELF = HostId.of("host-2");
    private static final HostId PEER = HostId.of("host-1");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("zone-1");
    private static final RankName URGENT = RankName.of("urgent");
    private static final RankName BATCH = RankName.of("batch");

    private final Board board = Board.create(
            new Settings(
                    SELF,
                    ZONE,
                    HostClass.of("small"),
                    "127.0.0.1:0",
                    "127.0.0.1:0",
                    "127.0.0.1:0",
                    Optional.empty(),
                    List.of(new Settings.HostEntry(SELF, ZONE, "127.0.0.1:1", false)),
                    1,
                    Settings.Timings.defaults(),
                    Settings.Bounds.defaults()),
            1,
            1);
    private final ControlCycle cycle = ControlCycle.create(board, List.of(AlarmController.create()));
    private final SplittableRandom random = new SplittableRandom(1);
    private final List<AlarmEffect> alarms = new ArrayList<>();
    private long nowSeconds;

    AlarmControllerTest() {
        board.configuration()
                .putInForce(new Sheet(
                        3,
                        "digest",
                        Map.of(),
                        Map.of(
                                URGENT,
                                new Rank(URGENT, 500, 2_000, 10, 0.3),
                                BATCH,
                                new Rank(BATCH, 60_000, 600_000, 1, 0.1)),
                        Map.of(),
                        List.of()));
        setLeader(true);
    }

    private void setLeader(boolean known) {
        board.consensus()
                .put(new GroupStatus(0, known ? Optional.of(SELF) : Optional.empty(), known, 1, 0, 0, 0, 0, true));
    }

    private void handle(Event event) {
        for (Effect effect : cycle.run(event, nowSeconds * SECOND, nowSeconds * 1_000)) {
            if (effect instanceof AlarmEffect alarm) {
                alarms.add(alarm);
            }
        }
    }

    private static Call call(RankName rank) {
        return new Call(
                RequestId.of("request"),
                AccountName.of("account"),
                rank,
                new CallKind.Service(RouteName.of("stock")),
                Content.of("application/json", new byte[0]),
                Fingerprint.of("00"),
                new Origin.Caller(),
                0,
                0);
    }

    /** Advances time with two calls per second, each of which fails with probability {@code failureRate}. */
    private void advanceTime(int seconds, RankName rank, double failureRate, ErrorKind kind) {
        for (int second = 0; second < seconds; second++, nowSeconds++) {
            for (int calls = 0; calls < 2; calls++) {
                handle(
                        random.nextDouble() < failureRate
                                ? new CallEvent.CallRefused(call(rank), Failure.of(kind, "reason"))
                                : new CallEvent.CallFinished(call(rank), 100_000_000));
            }
            handle(new TimerEvent.Tick());
        }
    }

    private void advanceTimeNormally(int seconds) {
        advanceTime(seconds, URGENT, 0.002, ErrorKind.SERVER_FAILED);
    }

    @Nested
    class NormalDay {
        @Test
        void withShortErrorsRaisesNothing() {
            int shortErrors = 0;
            while (nowSeconds < DAY_SECONDS) {
                advanceTimeNormally(3_600 - 30);
                boolean outage = random.nextBoolean();
                advanceTime(outage ? 20 : 100, URGENT, outage ? 1 : 0.2, ErrorKind.SERVER_FAILED);
                shortErrors++;
            }
            assertTrue(shortErrors > 20);
            assertEquals(List.of(), alarms);
        }

        @Test
        void floodOfBatchWorkRaisesNothing() {
            advanceTimeNormally(3_600);
            advanceTime(3_600, BATCH, 0.9, ErrorKind.RANK_QUEUE_FULL);
            assertEquals(List.of(), alarms);
        }

        @Test
        void errorsOfCallersRaiseNothing() {
            advanceTime(3_600, URGENT, 0.9, ErrorKind.ACCOUNT_LIMIT_EXCEEDED);
            assertEquals(List.of(), alarms);
        }
    }

    @Nested
    class Violations {
        @ParameterizedTest
        @CsvSource({"1.0, 5", "0.3, 15"})
        void raiseOneAlarmInTime(double failureRate, int withinMinutes) {
            advanceTimeNormally(2 * 3_600);
            advanceTime(withinMinutes * 60, URGENT, failureRate, ErrorKind.SERVER_FAILED);
            assertEquals(1, alarms.size());
            AlarmEffect.RaiseAlarm raised = (AlarmEffect.RaiseAlarm) alarms.getFirst();
            assertEquals("service/urgent", raised.objective());
            assertTrue(raised.text().contains("since 1970-01-01T02:0"), raised.text());
            assertTrue(raised.text().contains("Run '"), raised.text());
            advanceTime(3_600, URGENT, failureRate, ErrorKind.SERVER_FAILED);
            assertEquals(1, alarms.size(), "one alarm as long as the violation lasts");
        }

        @Test
        void includeEarlyRefusalsOfTheMostUrgentRank() {
            advanceTimeNormally(3_600);
            advanceTime(900, URGENT, 0.5, ErrorKind.RANK_QUEUE_FULL);
            assertEquals(1, alarms.size());
        }

        @Test
        void includeLateAnswers() {
            advanceTimeNormally(3_600);
            for (int second = 0; second < 600; second++, nowSeconds++) {
                handle(new CallEvent.CallFinished(call(URGENT), 501_000_000));
                handle(new TimerEvent.Tick());
            }
            assertEquals(1, alarms.size());
        }

        @Test
        void alarmIsClearedOnceAfterFiveMinutesWithoutViolation() {
            advanceTimeNormally(3_600);
            advanceTime(900, URGENT, 0.5, ErrorKind.SERVER_FAILED);
            advanceTimeNormally(120);
            advanceTime(60, URGENT, 0.5, ErrorKind.SERVER_FAILED);
            assertEquals(1, alarms.size(), "a short improvement neither clears the alarm nor raises another");
            advanceTimeNormally(1_200);
            assertEquals(new AlarmEffect.ClearAlarm("service/urgent"), alarms.getLast());
            assertEquals(2, alarms.size());
        }
    }

    @Nested
    class Invariants {
        @Test
        void missingLeaderIsReportedAfterTheTimeOfTwoElections() {
            advanceTimeNormally(60);
            setLeader(false);
            advanceTimeNormally(10);
            setLeader(true);
            advanceTimeNormally(10);
            assertEquals(List.of(), alarms);
            setLeader(false);
            advanceTimeNormally(20);
            assertEquals(1, alarms.size());
            assertTrue(((AlarmEffect.RaiseAlarm) alarms.getFirst()).text().contains("orders are refused"));
        }

        @Test
        void reachableHostWithAnOldSheetIsReported() {
            advanceTimeNormally(60);
            board.membership().put(new Member(PEER, ZONE, 1, true, 0, false, 2));
            advanceTimeNormally(4);
            assertEquals(List.of(), alarms);
            advanceTimeNormally(10);
            assertEquals(
                    AlarmController.CONFIGURATION_OBJECTIVE, ((AlarmEffect.RaiseAlarm) alarms.getFirst()).objective());
        }
    }

    @Nested
    class SeveralHosts {
        @Test
        void onlyTheLeaderRaises() {
            board.membership().put(new Member(PEER, ZONE, 1, true, 0, false, 3));
            board.consensus().put(new GroupStatus(0, Optional.of(PEER), false, 1, 0, 0, 0, 0, true));
            advanceTime(3_600, URGENT, 1, ErrorKind.SERVER_FAILED);
            assertEquals(List.of(), alarms);
        }

        @Test
        void withoutALeaderTheHostWithTheSmallestIdRaises() {
            board.membership().put(new Member(HostId.of("host-3"), ZONE, 1, true, 0, false, 3));
            setLeader(false);
            advanceTime(3_600, URGENT, 1, ErrorKind.SERVER_FAILED);
            assertEquals(2, alarms.size(), "one alarm for the service and one for the records");
        }
    }
}
