package org.plantainwharf.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.keptpart.KeptPartSection;
import org.plantainwharf.keptpart.Retention;
import org.plantainwharf.observation.Digest;
import org.plantainwharf.observation.ServerStart;
import org.plantainwharf.registry.KnownServer;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against waits at a home that cost more than the kept part saves, and against parts that are processed again. */
class KeptPartChoiceTest {
    private static final long NOW = TimeUnit.SECONDS.toNanos(1_000);
    private static final AvailabilityZone ZONE = AvailabilityZone.of("a");
    private static final PromptShape PROMPT = new PromptShape(
            "m", 11_992, 100, List.of(new PromptShape.Part("shared", 5_382), new PromptShape.Part("own", 6_610)));

    private final KeptPartSection section = KeptPartSection.create();
    private final EngineProfile profile = EngineProfile.create();
    private final List<ServerSelector.Candidate> servers =
            IntStream.range(0, 4).mapToObj(index -> server(index, false)).toList();

    private static ServerSelector.Candidate server(int index, boolean reclaimed) {
        ServerId id = ServerId.of("i-" + index);
        ServerReport report = new ServerReport(
                id,
                1_000,
                1,
                ServiceName.of("engines"),
                "10.0.0." + index + ":80",
                ZONE,
                14,
                ServerPhase.READY,
                0,
                true,
                reclaimed ? OptionalLong.of(5_000) : OptionalLong.empty(),
                ServerVersion.unstated());
        ServerStatistics statistics = new ServerStatistics();
        statistics.beginStart(ServerStart.of(id, 1_000), 1_000);
        return new ServerSelector.Candidate(new KnownServer(report, 0, NOW), statistics);
    }

    private KeptPartEstimate estimate() {
        return KeptPartEstimate.of(Optional.of(PROMPT), profile, section, Optional.of(new Retention(400_000, 20)));
    }

    private ServerId chosen(List<ServerSelector.Candidate> candidates) {
        return ServerSelector.select(candidates, estimate(), Set.of(), profile, ZONE, () -> 0.5, NOW)
                .orElseThrow()
                .id();
    }

    private ServerSelector.Candidate firstHome() {
        return servers.stream()
                .filter(server -> server.id().equals(chosen(servers)))
                .findFirst()
                .orElseThrow();
    }

    private ServerSelector.Candidate otherThan(ServerSelector.Candidate server) {
        return servers.stream().filter(other -> other != server).findFirst().orElseThrow();
    }

    private void keepAt(ServerSelector.Candidate server, long agoMillis) {
        section.recordUse(
                server.statistics().start(), Digest.of("shared"), NOW - TimeUnit.MILLISECONDS.toNanos(agoMillis));
    }

    private static void queueAt(ServerSelector.Candidate server, long tokens) {
        server.statistics().recordSent(tokens, Optional.empty(), NOW);
    }

    /** The shared part takes 54 ms at the initial speed of 100 tokens a millisecond. */
    @Nested
    class Waits {
        @Test
        void thatAreShorterThanWhatIsSavedAreAccepted() {
            ServerSelector.Candidate home = otherThan(firstHome());
            keepAt(home, 1_000);
            queueAt(home, 2_000);
            assertEquals(home.id(), chosen(servers));
        }

        @Test
        void thatAreLongerThanWhatIsSavedSendRequestsElsewhere() {
            ServerSelector.Candidate home = otherThan(firstHome());
            keepAt(home, 1_000);
            queueAt(home, 9_000);
            assertNotEquals(home.id(), chosen(servers));
        }

        /** A part that is asked for more often than one server can serve is processed at a second one, which keeps it. */
        @Test
        void atAHotHomeMakeASecondHome() {
            ServerSelector.Candidate home = firstHome();
            keepAt(home, 100);
            queueAt(home, 9_000);
            ServerId second = chosen(servers);
            assertNotEquals(home.id(), second);
            servers.stream().filter(server -> server.id().equals(second)).forEach(server -> keepAt(server, 50));
            assertEquals(second, chosen(servers));
        }
    }

    @Nested
    class Homes {
        @Test
        void areTheSameForDaemonsThatKnowNothing() {
            ServerId first = chosen(servers);
            assertEquals(first, chosen(servers.reversed()));
        }

        @Test
        void thatHaveLostThePartAreWorthNothing() {
            ServerSelector.Candidate home = otherThan(firstHome());
            keepAt(home, 60_000);
            assertEquals(PROMPT.inputTokens(), estimate().uncachedTokens(home, NOW));
        }

        @Test
        void thatStartedAgainAreWorthNothing() {
            ServerSelector.Candidate home = otherThan(firstHome());
            keepAt(home, 1_000);
            home.statistics().beginStart(ServerStart.of(home.id(), 2_000), 2_000);
            assertEquals(PROMPT.inputTokens(), estimate().uncachedTokens(home, NOW));
        }

        /** What such a server would keep is lost within seconds. */
        @Test
        void areNotServersThatAreToBeReclaimed() {
            int index = servers.indexOf(firstHome());
            List<ServerSelector.Candidate> changed = servers.stream()
                    .map(server -> servers.indexOf(server) == index ? server(index, true) : server)
                    .toList();
            assertNotEquals(servers.get(index).id(), chosen(changed));
        }

        @Test
        void keepAPartOnlyWithAllPartsBeforeIt() {
            ServerSelector.Candidate home = otherThan(firstHome());
            section.recordUse(home.statistics().start(), Digest.of("own"), NOW);
            assertEquals(PROMPT.inputTokens(), estimate().uncachedTokens(home, NOW));
        }
    }

    /** 26 daemons before 63 engines whose memory holds some tens of prompts; three kinds with shared parts of all sizes. */
    @Nested
    class FleetsOfManyDaemons {
        private static final List<EngineFleet.Kind> KINDS = List.of(
                new EngineFleet.Kind("redraft", 1, 12, 5_382, 3_000, 289, 2_890, 51, 1_000, 6_000, 3.8),
                new EngineFleet.Kind("check", 0, 15, 568, 0, 367, 1_800, 24, 600, 4_000, 2),
                new EngineFleet.Kind("hint", 2, 12.5, 172, 0, 298, 543, 279, 500, 15_000, 0.55));

        private static EngineFleet play(int controls, long seed) {
            EngineFleet fleet = new EngineFleet(
                    new EngineFleet.Shape(
                                    26, 63, 4, new double[] {0.6, 1, 1.6, 1}, 38.7, new EngineFleet.Policy.Product())
                            .sharing(controls),
                    KINDS,
                    seed);
            fleet.setLoad(8);
            fleet.advance(10_000);
            return fleet;
        }

        @Test
        void processLessAgainThanDaemonsThatShareNothing() {
            long alone = LongStream.of(1, 2, 3)
                    .map(seed -> play(0, seed).uses().againTokens())
                    .sum();
            long sharing = LongStream.of(1, 2, 3)
                    .map(seed -> play(2, seed).uses().againTokens())
                    .sum();
            assertTrue(sharing < alone, sharing + " tokens with shared parts, " + alone + " without");
        }
    }
}
