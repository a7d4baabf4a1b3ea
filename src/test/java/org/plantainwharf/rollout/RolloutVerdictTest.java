package org.plantainwharf.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.plantainwharf.identity.RouteName;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against bad versions that get too many requests, and good ones that are not completed in time. */
@Timeout(300)
class RolloutVerdictTest {
    private static final int SEEDS = 40;

    /** Long rollouts take longer to run. */
    private static final int SEEDS_OF_LONG = 12;

    /** A case of a table. */
    private record Case(String name, AnswerFake.Plan plan, Consumer<AnswerFake> trouble) {
        Case(String name, AnswerFake.Plan plan) {
            this(name, plan, fake -> {});
        }

        int seeds() {
            return plan.durationMillis() > 20_000 ? SEEDS_OF_LONG : SEEDS;
        }

        AnswerFake run(long seed) {
            AnswerFake fake = AnswerFake.create(plan, seed);
            trouble.accept(fake);
            return fake.run(plan.durationMillis() + 6_000);
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private static AnswerFake.Answer failing(double probability, Random random) {
        return random.nextDouble() < probability ? new AnswerFake.Answer(true, false, 1) : AnswerFake.Answer.good();
    }

    private static AnswerFake.Answer slow(double factor) {
        return new AnswerFake.Answer(false, false, factor);
    }

    private static AnswerFake.Fault from(double fromMillis, AnswerFake.Fault fault) {
        return (server, route, load, now, random) ->
                (now >= fromMillis ? fault : AnswerFake.GOOD).answer(server, route, load, now, random);
    }

    private static AnswerFake.Fault onRoute(String name, AnswerFake.Fault fault) {
        RouteName only = RouteName.of(name);
        return (server, route, load, now, random) ->
                (route.equals(only) ? fault : AnswerFake.GOOD).answer(server, route, load, now, random);
    }

    private static final AnswerFake.Fault FAILS = (server, route, load, now, random) -> failing(1, random);
    private static final AnswerFake.Fault FAILS_OFTEN = (server, route, load, now, random) -> failing(0.3, random);
    private static final AnswerFake.Fault SLOW = (server, route, load, now, random) -> slow(5);
    private static final AnswerFake.Fault LOSES_CONNECTIONS = (server, route, load, now, random) ->
            random.nextDouble() < 0.5 ? new AnswerFake.Answer(true, true, 1) : AnswerFake.Answer.good();

    private static final AnswerFake.Fault FAILS_SELDOM = (server, route, load, now, random) -> failing(0.03, random);

    private static AnswerFake.Plan plan(long durationMillis, AnswerFake.Fault target) {
        return AnswerFake.Plan.ordinary(durationMillis, target);
    }

    @Nested
    class GoodVersions {
        static Stream<Case> cases() {
            AnswerFake.Fault grey =
                    (server, route, load, now, random) -> failing(server.index() == 0 ? 0.9 : 0.003, random);
            AnswerFake.Fault greySlow =
                    (server, route, load, now, random) -> server.index() == 0 ? slow(6) : AnswerFake.Answer.good();
            AnswerFake.Fault overloaded = (server, route, load, now, random) -> now > 6_000 && now < 12_000
                    ? new AnswerFake.Answer(random.nextDouble() < 0.2, false, 4)
                    : AnswerFake.Answer.good();
            List<Case> cases = new ArrayList<>();
            for (long duration : new long[] {12_000, 20_000, 60_000}) {
                String suffix = ", " + duration / 1_000 + " s";
                cases.add(new Case("quiet" + suffix, plan(duration, AnswerFake.GOOD)));
                cases.add(new Case(
                        "one wave of crashes" + suffix,
                        plan(duration, AnswerFake.GOOD),
                        fake -> fake.at(6_000, () -> fake.crash(0.4))));
                cases.add(new Case(
                        "overload of both versions" + suffix,
                        plan(duration, overloaded).withOld(overloaded)));
                cases.add(new Case("restarts of daemons" + suffix, plan(duration, AnswerFake.GOOD), fake -> {
                    for (int index = 0; index < 4; index++) {
                        int daemon = index;
                        fake.at(5_500 + 200.0 * index, () -> fake.restart(daemon));
                    }
                }));
                cases.add(new Case(
                        "large fleet" + suffix,
                        plan(duration, AnswerFake.GOOD)
                                .withDaemons(86)
                                .withServers(40, 40)
                                .withTraffic(600)));
                cases.add(new Case(
                        "few servers" + suffix, plan(duration, AnswerFake.GOOD).withServers(4, 4)));
                cases.add(new Case(
                        "one server" + suffix,
                        plan(duration, AnswerFake.GOOD).withServers(1, 1).withTraffic(20)));
            }
            for (long duration : new long[] {12_000, 30_000}) {
                String suffix = ", " + duration / 1_000 + " s";
                cases.add(new Case(
                        "little traffic" + suffix,
                        plan(duration, AnswerFake.GOOD).withTraffic(30)));
                cases.add(new Case(
                        "much traffic" + suffix, plan(duration, AnswerFake.GOOD).withTraffic(350)));
                cases.add(new Case(
                        "two servers" + suffix,
                        plan(duration, AnswerFake.GOOD).withServers(2, 2).withTraffic(40)));
                cases.add(new Case(
                        "failures of both versions" + suffix,
                        plan(duration, FAILS_SELDOM).withOld(FAILS_SELDOM)));
            }
            cases.add(new Case("a server that fails, 20 s", plan(20_000, grey)));
            cases.add(new Case("a slow server, 20 s", plan(20_000, greySlow)));
            cases.add(new Case(
                    "a server of the old version that fails, 20 s",
                    plan(20_000, AnswerFake.GOOD).withOld(grey)));
            cases.add(new Case("waves of crashes, 30 s", plan(30_000, AnswerFake.GOOD), fake -> {
                for (double at = 5_000; at < 24_000; at += 5_000) {
                    fake.at(at, () -> fake.crash(0.3));
                }
            }));
            cases.add(new Case(
                    "a new leader, 20 s",
                    plan(20_000, AnswerFake.GOOD),
                    fake -> fake.at(9_000, () -> fake.loseLeader(1_500))));
            return cases.stream();
        }

        @ParameterizedTest
        @MethodSource("cases")
        void areCompletedWithinTheOrderedTime(Case good) {
            List<String> failed = new ArrayList<>();
            for (long seed = 1; seed <= good.seeds(); seed++) {
                AnswerFake fake = good.run(seed);
                boolean completed = fake.phase() instanceof RolloutPhase.Completed
                        && fake.verdictMillis() <= good.plan().durationMillis();
                // At the end of the ordered time the old servers go, whatever runs there.
                boolean cut = fake.runningAtOldAtVerdict() > 0
                        && fake.verdictMillis() < good.plan().durationMillis() - 500;
                if (!completed || cut || fake.sentToOldAfterVerdict() > 0) {
                    failed.add("seed " + seed + ": " + fake.runningAtOldAtVerdict() + " cut, "
                            + fake.sentToOldAfterVerdict() + " sent to old, " + fake);
                }
            }
            assertEquals(List.of(), failed);
        }
    }

    @Nested
    class TinyTraffic {
        static Stream<Case> cases() {
            return Stream.of(
                    new Case("good", plan(12_000, AnswerFake.GOOD).withTraffic(0.5)),
                    new Case("bad", plan(12_000, FAILS).withTraffic(0.5)));
        }

        /** With a few requests there is no verdict, and the share does not grow. */
        @ParameterizedTest
        @MethodSource("cases")
        void leadsToNoVerdictByChance(Case tiny) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                AnswerFake fake = tiny.run(seed);
                assertEquals(new RolloutPhase.Observing(), fake.phase(), () -> fake.toString());
            }
        }
    }

    @Nested
    class BadVersions {
        static Stream<Case> cases() {
            AnswerFake.Fault underLoad =
                    (server, route, load, now, random) -> load > 0.3 ? failing(0.6, random) : AnswerFake.Answer.good();
            AnswerFake.Fault slowUnderLoad =
                    (server, route, load, now, random) -> load > 0.3 ? slow(5) : AnswerFake.Answer.good();
            AnswerFake.Fault slowOften = (server, route, load, now, random) ->
                    random.nextDouble() < 0.5 ? slow(5) : AnswerFake.Answer.good();
            List<Case> cases = new ArrayList<>();
            for (long duration : new long[] {12_000, 20_000, 60_000}) {
                String suffix = ", " + duration / 1_000 + " s";
                cases.add(new Case("fails" + suffix, plan(duration, FAILS)));
                cases.add(new Case("fails often" + suffix, plan(duration, FAILS_OFTEN)));
                cases.add(new Case("is slow" + suffix, plan(duration, SLOW)));
                cases.add(new Case("is often slow" + suffix, plan(duration, slowOften)));
                cases.add(new Case("loses connections" + suffix, plan(duration, LOSES_CONNECTIONS)));
                cases.add(new Case("fails under load" + suffix, plan(duration, underLoad)));
                cases.add(new Case("is slow under load" + suffix, plan(duration, slowUnderLoad)));
                cases.add(new Case("fails on a rare route" + suffix, plan(duration, onRoute("rare", FAILS))));
                cases.add(new Case("is slow on a route" + suffix, plan(duration, onRoute("stock", SLOW))));
                for (double part : new double[] {0.5, 0.7}) {
                    cases.add(new Case("fails from " + part + suffix, plan(duration, from(part * duration, FAILS))));
                    cases.add(new Case("is slow from " + part + suffix, plan(duration, from(part * duration, SLOW))));
                }
                cases.add(new Case(
                        "fails in a large fleet" + suffix,
                        plan(duration, FAILS)
                                .withDaemons(86)
                                .withServers(40, 40)
                                .withTraffic(600)));
                cases.add(new Case(
                        "fails with one server" + suffix,
                        plan(duration, FAILS).withServers(1, 1).withTraffic(20)));
                cases.add(new Case(
                        "fails while servers crash" + suffix,
                        plan(duration, FAILS_OFTEN),
                        fake -> fake.at(6_000, () -> fake.crash(0.4))));
                cases.add(new Case("fails while daemons restart" + suffix, plan(duration, FAILS), fake -> {
                    for (int index = 0; index < 8; index++) {
                        int daemon = index;
                        fake.at(4_200, () -> fake.restart(daemon));
                    }
                }));
                cases.add(new Case(
                        "fails while the leader is lost" + suffix,
                        plan(duration, FAILS_OFTEN),
                        fake -> fake.at(4_500, () -> fake.loseLeader(1_500))));
            }
            for (long duration : new long[] {12_000, 30_000}) {
                String suffix = ", " + duration / 1_000 + " s";
                cases.add(new Case(
                        "fails often with much traffic" + suffix,
                        plan(duration, FAILS_OFTEN).withTraffic(350)));
                cases.add(new Case(
                        "is slow with much traffic" + suffix,
                        plan(duration, SLOW).withTraffic(350)));
                cases.add(new Case(
                        "takes three times as long" + suffix,
                        plan(duration, (server, route, load, now, random) -> slow(3))));
                cases.add(new Case(
                        "fails often with two servers" + suffix,
                        plan(duration, FAILS_OFTEN).withServers(2, 2).withTraffic(40)));
            }
            for (double part : new double[] {0.75, 0.8}) {
                cases.add(new Case("fails from " + part + ", 30 s", plan(30_000, from(part * 30_000, FAILS))));
                cases.add(new Case("is slow from " + part + ", 30 s", plan(30_000, from(part * 30_000, SLOW))));
            }
            return cases.stream();
        }

        @ParameterizedTest
        @MethodSource("cases")
        void areRolledBackWithinBothBounds(Case bad) {
            List<String> failed = new ArrayList<>();
            for (long seed = 1; seed <= bad.seeds(); seed++) {
                AnswerFake fake = bad.run(seed);
                if (!(fake.phase() instanceof RolloutPhase.RolledBack)
                        || fake.beyondShare() > 0
                        || fake.sentAfterFiftiethBadMillis()
                                > RolloutBounds.defaults().rollBackMillis()) {
                    failed.add("seed " + seed + ": beyond the share by " + fake.beyondShare() + ", sent "
                            + fake.sentAfterFiftiethBadMillis() + " ms after the 50th bad answer, " + fake);
                }
            }
            assertEquals(List.of(), failed);
        }
    }
}
