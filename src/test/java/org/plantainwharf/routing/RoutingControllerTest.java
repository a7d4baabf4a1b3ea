package org.plantainwharf.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.Origin;
import org.plantainwharf.decision.DecisionHarness;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.server.Announcement;
import org.plantainwharf.server.LoadReport;
import org.plantainwharf.server.ServerEntry;
import org.plantainwharf.server.ServerKind;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against calls sent to servers that must receive none, and against choices that ignore price, zone, load, speed
 * or cached prefixes.
 */
class RoutingControllerTest {
    private static final List<Long> BLOCKS = List.of(11L, 12L, 13L, 14L);

    private final DecisionHarness harness = DecisionHarness.create();
    private int calls;

    private ServerEntry engine(String name, AvailabilityZone zone, HostClass hostClass, int slots) {
        return harness.announce(
                new Announcement(
                        ServerId.of(name),
                        1,
                        harness.nowNanos(),
                        "127.0.0.1:1",
                        zone,
                        hostClass,
                        new ServerKind.ModelEngine(Set.of(DecisionHarness.MODEL), true, false),
                        slots,
                        LoadReport.idle(),
                        false),
                3_000);
    }

    private Call call(List<Long> blocks) {
        calls++;
        return harness.call(
                "r" + calls,
                "big",
                "normal",
                new CallKind.Model(DecisionHarness.MODEL, 1_000, 20, blocks, true),
                new Origin.Caller());
    }

    private AttemptEffect.StartAttempt startCall(List<Long> blocks) {
        return DecisionHarness.starts(harness.arrive(call(blocks))).getFirst();
    }

    /** Runs one call to completion with the given time to the first token and time per token. */
    private void serve(AttemptEffect.StartAttempt start, long firstMillis, long tokenMillis) {
        harness.run(new AttemptEvent.AttemptSent(start.attempt()));
        harness.advanceMillis(firstMillis);
        harness.run(new AttemptEvent.FirstTokenReceived(start.attempt()));
        harness.advanceMillis(9 * tokenMillis);
        harness.complete(start);
    }

    private static List<ServerEffect.FetchCacheEvents> fetches(List<Effect> effects) {
        return effects.stream()
                .filter(ServerEffect.FetchCacheEvents.class::isInstance)
                .map(ServerEffect.FetchCacheEvents.class::cast)
                .toList();
    }

    @Nested
    class Exclusions {
        @Test
        void sendNoCallToAServerWithAnExpiredLease() {
            engine("s1", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 4);
            harness.advanceMillis(3_050);
            assertTrue(DecisionHarness.starts(harness.arrive(call(List.of()))).isEmpty());
        }

        @Test
        void sendNoCallToALeavingServer() {
            ServerEntry entry = engine("s1", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 4);
            engine("s2", DecisionHarness.ZONE_B, DecisionHarness.CLASS, 4);
            entry.endLease(harness.nowNanos());
            for (int call = 0; call < 3; call++) {
                assertEquals(ServerId.of("s2"), startCall(List.of()).server());
            }
        }

        @Test
        void countEveryAttemptUntilItsEndIsReported() {
            ServerEntry entry = engine("s1", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 4);
            AttemptEffect.StartAttempt start = startCall(List.of());
            assertEquals(1, entry.inFlight());
            harness.complete(start);
            harness.complete(start);
            assertEquals(0, entry.inFlight());
        }
    }

    @Nested
    class Costs {
        @Test
        void preferTheOwnZoneAndTheCheaperClass() {
            engine("far", DecisionHarness.ZONE_B, DecisionHarness.CLASS, 8);
            engine("expensive", DecisionHarness.ZONE_A, HostClass.of("large"), 8);
            engine("near", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 8);
            assertEquals(ServerId.of("near"), startCall(List.of()).server());
        }

        @Test
        void preferAnotherZoneToABusyServer() {
            engine("near", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 1);
            engine("far", DecisionHarness.ZONE_B, DecisionHarness.CLASS, 8);
            assertEquals(ServerId.of("near"), startCall(List.of()).server());
            assertEquals(ServerId.of("far"), startCall(List.of()).server());
        }

        @Test
        void moveCallsAwayFromASlowServer() {
            engine("s1", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 8);
            engine("s2", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 8);
            for (int round = 0; round < 30; round++) {
                AttemptEffect.StartAttempt start = startCall(List.of());
                boolean slow = start.server().equals(ServerId.of("s1"));
                serve(start, slow ? 500 : 50, slow ? 50 : 5);
                engine("s1", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 8);
                engine("s2", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 8);
            }
            Map<ServerId, Long> last = harness.starts().subList(20, 30).stream()
                    .map(AttemptEffect.StartAttempt::server)
                    .collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
            assertEquals(Map.of(ServerId.of("s2"), 10L), last);
        }
    }

    @Nested
    class PrefixCacheHints {
        private void reportFullCache(String server, long sequence) {
            harness.run(new ServerEvent.CacheChanged(ServerId.of(server), 1, 1, sequence, BLOCKS, List.of(), true));
        }

        @Test
        void routeACallToTheServerThatCachesItsPrefix() {
            engine("s1", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 8);
            engine("s2", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 8);
            reportFullCache("s2", 4);
            assertEquals(ServerId.of("s2"), startCall(BLOCKS).server());
        }

        @Test
        void areDiscardedAfterAGapUntilAFullReport() {
            engine("s1", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 8);
            engine("s2", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 8);
            reportFullCache("s2", 4);
            List<Effect> effects = harness.run(
                    new ServerEvent.CacheChanged(ServerId.of("s2"), 1, 7, 8, List.of(), List.of(99L), false));
            assertEquals(0, fetches(effects).getFirst().afterSequence());
            assertEquals(0, harness.board().routing().hints().size());
            harness.run(new ServerEvent.CacheChanged(ServerId.of("s2"), 1, 9, 9, BLOCKS, List.of(), false));
            assertEquals(
                    0, harness.board().routing().hints().size(), "incremental events after a gap do not restore hints");
            reportFullCache("s2", 9);
            assertEquals(ServerId.of("s2"), startCall(BLOCKS).server());
        }

        @Test
        void areDiscardedWhenTheEngineEvictsOrRestarts() {
            engine("s1", DecisionHarness.ZONE_A, DecisionHarness.CLASS, 8);
            reportFullCache("s1", 4);
            harness.run(new ServerEvent.CacheChanged(ServerId.of("s1"), 1, 5, 5, List.of(), BLOCKS, false));
            assertEquals(0, harness.board().routing().hints().size());
            reportFullCache("s1", 6);
            harness.run(new ServerEvent.CacheChanged(ServerId.of("s1"), 2, 1, 1, List.of(), List.of(), false));
            assertEquals(0, harness.board().routing().hints().size());
        }

        @Test
        void addServersToTheSampleOfManyServers() {
            for (int server = 0; server < 300; server++) {
                engine("s" + server, DecisionHarness.ZONE_A, DecisionHarness.CLASS, 8);
            }
            reportFullCache("s250", 4);
            for (int round = 0; round < 5; round++) {
                assertEquals(ServerId.of("s250"), startCall(BLOCKS).server());
            }
            assertFalse(startCall(List.of(1L)).server().equals(ServerId.of("s250")));
        }
    }
}
