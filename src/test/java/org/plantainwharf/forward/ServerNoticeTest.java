package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.registry.ServerPhase;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against requests to a server that has told this daemon that it leaves, or that it wants none for a time, whatever
 * it or others report later.
 */
class ServerNoticeTest {
    private static final ServerNotice LEAVING = new ServerNotice(true, new RequestedPause.None());

    private final ForwardHarness harness =
            new ForwardHarness(List.of(ForwardHarness.route("/safe/", Repeatability.SAFE, 3, false)), 1e12);

    @BeforeEach
    void applyDocument() {
        harness.applyDocument();
    }

    private static ServerNotice pause(long millis) {
        return new ServerNotice(false, new RequestedPause.For(millis, false));
    }

    private void report(String... servers) {
        for (String server : servers) {
            harness.reportServer(server, ServerPhase.READY);
        }
    }

    private void notice(ForwardEffect.StartForward start, ServerNotice notice) {
        harness.run(new ForwardEvent.ServerNoticed(start.ticket(), start.server(), start.startEpochMillis(), notice));
    }

    /** Returns the effect on a new request: its start, or its refusal. */
    private ForwardEffect arrive() {
        return harness.arrive("/safe/x", Optional.of(ForwardHarness.KEY), 3_000).getFirst();
    }

    private ForwardEffect.StartForward arriveAndStart() {
        return assertInstanceOf(ForwardEffect.StartForward.class, arrive());
    }

    private ForwardEffect.RefuseForward refusal() {
        return assertInstanceOf(ForwardEffect.RefuseForward.class, arrive());
    }

    @Nested
    class LeavingServers {
        @Test
        void getNothingAlthoughTheyReportReady() {
            report("i-1", "i-2");
            ForwardEffect.StartForward start = arriveAndStart();
            notice(start, LEAVING);
            for (int request = 0; request < 20; request++) {
                report("i-1", "i-2");
                harness.advance(100);
                ForwardEffect.StartForward next = arriveAndStart();
                assertTrue(!next.server().equals(start.server()), "request " + request);
                harness.endAttempt(next, new ForwardOutcome.Completed(false));
            }
        }

        @Test
        void getNothingAlthoughNoOtherServerIsLeft() {
            report("i-1");
            notice(arriveAndStart(), LEAVING);
            report("i-1");
            assertEquals(ErrorKind.NO_SERVER_AVAILABLE, refusal().failure().kind());
        }

        /** The registry forgets a server that has not reported for a minute. */
        @Test
        void getNothingAfterTheirReportsWereForgotten() {
            report("i-1");
            notice(arriveAndStart(), LEAVING);
            harness.advance(120_000);
            harness.tick();
            report("i-1");
            assertInstanceOf(ForwardEffect.RefuseForward.class, arrive());
        }

        @Test
        void getNoRetry() {
            report("i-1", "i-2");
            ForwardEffect.StartForward first = arriveAndStart();
            ForwardEffect.StartForward second = arriveAndStart();
            assertTrue(!first.server().equals(second.server()));
            notice(second, LEAVING);
            List<ForwardEffect> effects =
                    harness.endAttempt(first, new ForwardOutcome.Refused(503, OptionalLong.empty()));
            assertInstanceOf(ForwardEffect.RefuseForward.class, effects.getFirst());
        }

        @Test
        void areUsedAgainAfterANewStart() {
            report("i-1");
            notice(arriveAndStart(), LEAVING);
            harness.reportServer("i-1", 2, ServerPhase.READY);
            assertEquals(ServerId.of("i-1"), arriveAndStart().server());
        }
    }

    @Nested
    class FormerStarts {
        /** The answer of a former start may arrive after the report of the present one. */
        @Test
        void doNotSpeakForThePresentOne() {
            report("i-1");
            ForwardEffect.StartForward former = arriveAndStart();
            harness.reportServer("i-1", 2, ServerPhase.READY);
            notice(former, LEAVING);
            notice(former, pause(60_000));
            assertEquals(ServerId.of("i-1"), arriveAndStart().server());
        }
    }

    @Nested
    class PausedServers {
        @Test
        void getNothingForTheWholeTime() {
            report("i-1", "i-2");
            ForwardEffect.StartForward start = arriveAndStart();
            notice(start, pause(6_000));
            harness.endAttempt(start, new ForwardOutcome.Refused(503, OptionalLong.of(6_000)));
            for (int step = 0; step < 59; step++) {
                harness.advance(100);
                report("i-1", "i-2");
                ForwardEffect.StartForward next = arriveAndStart();
                assertTrue(!next.server().equals(start.server()), "after " + (step + 1) * 100 + " ms");
                harness.endAttempt(next, new ForwardOutcome.Completed(false));
            }
        }

        @Test
        void areNotCalledForEarlierByALaterAnswer() {
            report("i-1");
            ForwardEffect.StartForward first = arriveAndStart();
            ForwardEffect.StartForward second = arriveAndStart();
            notice(first, pause(6_000));
            notice(second, pause(100));
            harness.startAnswer(second);
            harness.advance(5_900);
            report("i-1");
            assertInstanceOf(ForwardEffect.RefuseForward.class, arrive());
            harness.advance(200);
            report("i-1");
            assertEquals(ServerId.of("i-1"), arriveAndStart().server());
        }

        @Test
        void areUsedAgainAfterANewStart() {
            report("i-1");
            notice(arriveAndStart(), pause(60_000));
            harness.reportServer("i-1", 2, ServerPhase.READY);
            assertEquals(ServerId.of("i-1"), arriveAndStart().server());
        }

        /** If all servers want a pause, callers are told at once when to return, one after the other. */
        @Test
        void refuseCallersWithTimesThatFollowEachOther() {
            report("i-1", "i-2", "i-3", "i-4");
            List<ForwardEffect.StartForward> running = new ArrayList<>();
            for (int request = 0; request < 4; request++) {
                running.add(arriveAndStart());
            }
            running.forEach(start -> notice(start, pause(6_000)));
            long earliest = Long.MAX_VALUE;
            long latest = 0;
            for (int caller = 0; caller < 24; caller++) {
                ForwardEffect.RefuseForward refused = refusal();
                assertEquals(ErrorKind.SERVERS_AT_LIMIT, refused.failure().kind());
                long returnMillis = refused.failure().retryAfter().orElseThrow().toMillis();
                earliest = Math.min(earliest, returnMillis);
                latest = Math.max(latest, returnMillis);
            }
            assertTrue(earliest >= 6_000, "the first caller returns after " + earliest + " ms");
            assertTrue(latest - earliest >= 500, "all callers return within " + (latest - earliest) + " ms");
        }
    }

    /** 8 servers with 6 slots each; requests take 0.3 s and arrive at 50 a second, a third of what all can do. */
    @Nested
    class LoadOnAService {
        private static final int STEP_MILLIS = 10;
        private static final int RUN_MILLIS = 300;
        private static final String[] SERVERS = {"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"};

        private final Map<Long, List<ForwardEffect.StartForward>> ending = new HashMap<>();
        private final Map<Long, Integer> returning = new HashMap<>();
        private final List<Start> starts = new ArrayList<>();
        private long millis;
        private int refused;

        /** A request that was sent to a server. */
        private record Start(long millis, ServerId server) {
            boolean isWithin(long fromMillis, long toMillis) {
                return millis >= fromMillis && millis < toMillis;
            }
        }

        private boolean started(ServerId server, long fromMillis, long toMillis) {
            return starts.stream()
                    .anyMatch(start -> start.server().equals(server) && start.isWithin(fromMillis, toMillis));
        }

        private long startsIn(long fromMillis, long toMillis) {
            return starts.stream()
                    .filter(start -> start.isWithin(fromMillis, toMillis))
                    .count();
        }

        private void call() {
            switch (arrive()) {
                case ForwardEffect.StartForward start -> {
                    starts.add(new Start(millis, start.server()));
                    ending.computeIfAbsent(millis + RUN_MILLIS, at -> new ArrayList<>())
                            .add(start);
                }
                case ForwardEffect.RefuseForward refusal -> {
                    refused++;
                    long wait = refusal.failure().retryAfter().orElseThrow().toMillis();
                    returning.merge((millis + wait) / STEP_MILLIS * STEP_MILLIS + STEP_MILLIS, 1, Integer::sum);
                }
                default -> throw new AssertionError("unexpected effect");
            }
        }

        private void play(long untilMillis) {
            while (millis < untilMillis) {
                harness.advance(STEP_MILLIS);
                millis += STEP_MILLIS;
                if (millis % 500 == 0) {
                    report(SERVERS);
                    harness.tick();
                }
                for (ForwardEffect.StartForward start : ending.getOrDefault(millis, List.of())) {
                    harness.endAttempt(start, new ForwardOutcome.Completed(false));
                }
                for (int caller = 0; caller < returning.getOrDefault(millis, 0); caller++) {
                    call();
                }
                if (millis % 20 == 0) {
                    call();
                }
            }
        }

        private void pauseServers(int count, long pauseMillis) {
            Map<ServerId, ForwardEffect.StartForward> latest = new HashMap<>();
            ending.values().forEach(list -> list.forEach(start -> latest.put(start.server(), start)));
            for (int server = 0; server < count; server++) {
                notice(
                        Objects.requireNonNull(latest.get(ServerId.of(SERVERS[server])), SERVERS[server]),
                        pause(pauseMillis));
            }
        }

        @Test
        void goesToTheOtherHalfAndComesBackWithoutABurst() {
            report(SERVERS);
            play(2_000);
            pauseServers(4, 5_000);
            play(12_000);
            assertEquals(0, refused);
            for (int server = 0; server < 4; server++) {
                ServerId id = ServerId.of(SERVERS[server]);
                assertTrue(!started(id, 2_010, 7_000), id + " got a request in its pause");
                assertTrue(started(id, 7_000, 8_000), id + " was not used within a second after its pause");
            }
        }

        /** Callers who were told the end of the pause must not all return in the same moment. */
        @Test
        void isRefusedWhileAllWantAPauseAndReturnsSpread() {
            report(SERVERS);
            play(2_000);
            pauseServers(8, 3_000);
            play(9_000);
            assertEquals(0, startsIn(2_010, 5_000));
            assertTrue(refused >= 140, refused + " refused");
            assertTrue(startsIn(5_000, 5_500) <= 60, startsIn(5_000, 5_500) + " requests within 0.5 s");
            assertTrue(startsIn(5_000, 9_000) >= 300, startsIn(5_000, 9_000) + " requests after the pause");
        }
    }

    @Nested
    class Values {
        @Test
        void thatAreNoTimeAreNotUsed() {
            for (String text : List.of("-1", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "", "NaN")) {
                assertInstanceOf(RequestedPause.Unusable.class, RequestedPause.parse(text), text);
            }
        }

        @Test
        void mayHaveAFractionAndAreBounded() {
            assertEquals(new RequestedPause.For(1_500, false), RequestedPause.parse(" 1.5 "));
            assertEquals(new RequestedPause.For(0, false), RequestedPause.parse("0"));
            assertEquals(new RequestedPause.For(RequestedPause.MAXIMUM_MILLIS, true), RequestedPause.parse("Infinity"));
            assertEquals(new RequestedPause.For(RequestedPause.MAXIMUM_MILLIS, true), RequestedPause.parse("1e9"));
        }
    }

    /** Random orders of answers, reports and new starts; counts what reaches a server after its word. */
    @Nested
    class RandomOrders {
        private final Map<String, Long> startOf = new HashMap<>();
        private final Map<String, Boolean> left = new HashMap<>();
        private final Map<String, Long> pausedUntil = new HashMap<>();
        private final List<ForwardEffect.StartForward> running = new ArrayList<>();
        private long millis;

        @Test
        void sendNothingAfterTheWordOfAServer() {
            for (long seed = 1; seed <= 20; seed++) {
                play(seed);
            }
        }

        private void play(long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            for (int server = 1; server <= 5; server++) {
                String name = "i-" + server;
                startOf.put(name, seed * 1_000);
                left.remove(name);
                pausedUntil.remove(name);
                harness.reportServer(name, seed * 1_000, ServerPhase.READY);
            }
            for (int step = 0; step < 400; step++) {
                String server = "i-" + random.nextInt(1, 6);
                switch (random.nextInt(8)) {
                    case 0 -> harness.reportServer(server, startOf.getOrDefault(server, 0L), ServerPhase.READY);
                    case 1 -> advance(random.nextInt(400));
                    case 2 -> restart(server, random);
                    case 3 -> endOne(random);
                    case 4 -> noticeOne(random);
                    default -> send(seed, step);
                }
            }
        }

        private void advance(long by) {
            millis += by;
            harness.advance(by);
            harness.tick();
        }

        private void restart(String server, SplittableRandom random) {
            if (random.nextInt(10) == 0) {
                startOf.merge(server, 1L, Long::sum);
                left.remove(server);
                pausedUntil.remove(server);
                harness.reportServer(server, startOf.getOrDefault(server, 0L), ServerPhase.READY);
            }
        }

        private void endOne(SplittableRandom random) {
            if (!running.isEmpty()) {
                ForwardEffect.StartForward start = running.remove(random.nextInt(running.size()));
                for (ForwardEffect effect : harness.endAttempt(start, new ForwardOutcome.Completed(false))) {
                    check(effect, "after an end");
                }
            }
        }

        private void noticeOne(SplittableRandom random) {
            if (!running.isEmpty()) {
                ForwardEffect.StartForward start = running.get(random.nextInt(running.size()));
                String server = start.server().value();
                boolean present = start.startEpochMillis() == startOf.getOrDefault(server, 0L);
                long pauseMillis = random.nextInt(1, 3_000);
                if (random.nextInt(4) == 0) {
                    notice(start, LEAVING);
                    if (present) {
                        left.put(server, true);
                    }
                } else {
                    notice(start, pause(pauseMillis));
                    if (present) {
                        pausedUntil.merge(server, millis + pauseMillis, Math::max);
                    }
                }
            }
        }

        private void send(long seed, int step) {
            check(arrive(), "seed " + seed + ", step " + step);
        }

        private void check(ForwardEffect effect, String when) {
            if (effect instanceof ForwardEffect.StartForward start) {
                String server = start.server().value();
                assertTrue(!left.containsKey(server), "sent to " + server + ", which leaves: " + when);
                assertTrue(
                        pausedUntil.getOrDefault(server, 0L) <= millis, "sent to " + server + " in its pause: " + when);
                running.add(start);
            }
        }
    }
}
