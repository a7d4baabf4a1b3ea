package org.plantainwharf.room;

import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.room.RoomDemand.PriorityDemand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against demand that is counted twice, forgotten or taken from an old report. */
class RoomAggregatorTest {
    private static final ServiceName SERVICE = ServiceName.of("engines");
    private static final HostId FIRST = HostId.of("edge-1");
    private static final HostId SECOND = HostId.of("edge-2");
    private static final long SECOND_NANOS = 1_000_000_000;

    private final RoomAggregator aggregator = new RoomAggregator();

    private static Map<ServiceName, RoomDemand> demand(double asked) {
        return Map.of(
                SERVICE, new RoomDemand(Map.of(0, new PriorityDemand(asked, 100, Map.of(AccountName.of("a"), asked)))));
    }

    private double pressure(long nowNanos) {
        RoomShare share = aggregator.shares(nowNanos).get(SERVICE);
        return share == null ? 0 : share.pressure();
    }

    @Nested
    class Reports {
        @Test
        void ofDaemonsAddUpAgainstTheCapacityThatEachEstimates() {
            aggregator.addReport(FIRST, 1, 1, demand(60), 0);
            aggregator.addReport(SECOND, 1, 1, demand(90), 0);
            assertEquals(1.5, pressure(0), 1e-9);
        }

        @Test
        void repeatedCountOnce() {
            aggregator.addReport(FIRST, 1, 1, demand(60), 0);
            aggregator.addReport(FIRST, 1, 1, demand(60), 0);
            assertEquals(0.6, pressure(0), 1e-9);
        }

        @Test
        void outOfOrderDoNotReplaceNewerOnes() {
            aggregator.addReport(FIRST, 1, 7, demand(60), 0);
            aggregator.addReport(FIRST, 1, 6, demand(10), 0);
            assertEquals(0.6, pressure(0), 1e-9);
        }

        /** A daemon that starts again counts its reports from the beginning. */
        @Test
        void ofANewStartReplaceThoseOfTheFormerOne() {
            aggregator.addReport(FIRST, 1, 700, demand(60), 0);
            aggregator.addReport(FIRST, 2, 1, demand(10), 0);
            assertEquals(0.1, pressure(0), 1e-9);
        }

        @Test
        void ofDaemonsThatAreGoneAreForgotten() {
            aggregator.addReport(FIRST, 1, 1, demand(60), 0);
            aggregator.addReport(SECOND, 1, 1, demand(90), 2 * SECOND_NANOS);
            assertEquals(0.9, pressure(3 * SECOND_NANOS), 1e-9);
            assertTrue(aggregator.hosts(10 * SECOND_NANOS).isEmpty());
        }
    }
}
