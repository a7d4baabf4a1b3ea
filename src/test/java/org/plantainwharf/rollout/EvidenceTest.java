package org.plantainwharf.rollout;

import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.codec.PeerMessageCodec;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.message.PeerMessage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against evidence that is counted twice or not at all, and against messages without a bound. */
class EvidenceTest {
    private static final ServiceName SERVICE = ServiceName.of("wharf-models");
    private static final HostId HOST = HostId.of("edge-1");
    private static final RouteName ROUTE = RouteName.of("season-fixture-review");

    private static PeerMessage.RolloutEvidence report(long sequence, long sent, List<RouteEvidence> routes) {
        return new PeerMessage.RolloutEvidence(SERVICE, 1, sequence, 0, sent, sent, 0, 0, routes);
    }

    private static EvidenceCounts counts(int routes, int servers, int answers) {
        EvidenceCounts counts = EvidenceCounts.create();
        Random random = new Random(1);
        for (int answer = 0; answer < answers; answer++) {
            double millis = 100 * Math.exp(0.5 * random.nextGaussian());
            boolean target = random.nextInt(20) == 0;
            counts.record(
                    RouteName.of("season-fixture-review-" + random.nextInt(routes)),
                    target,
                    "i-0f8fad5bd9cb469fa" + random.nextInt(servers) + "@1778637634820",
                    new EvidenceCounts.Ending.Answered(0.4 * millis, millis, true),
                    0);
        }
        return counts;
    }

    private static int bytes(EvidenceCounts counts) {
        return PeerMessageCodec.create().encode(report(1_000, 100_000, counts.evidence())).length;
    }

    @Nested
    class Reports {
        private final EvidenceCollection collection = EvidenceCollection.create();

        @Test
        void thatAreRepeatedOrLateChangeNothing() {
            assertTrue(collection.add(HOST, 7, report(2, 20, List.of())));
            assertEquals(false, collection.add(HOST, 7, report(2, 20, List.of())));
            assertEquals(false, collection.add(HOST, 7, report(1, 10, List.of())));
            assertEquals(20, collection.sentToTarget());
        }

        @Test
        void ofAFormerStartStayCountedOnce() {
            collection.add(HOST, 7, report(2, 20, List.of()));
            collection.add(HOST, 8, report(1, 5, List.of()));
            collection.add(HOST, 7, report(2, 20, List.of()));
            assertEquals(25, collection.sentToTarget());
        }

        @Test
        void ofManyStartsAreBounded() {
            for (int start = 0; start < 1_000; start++) {
                collection.add(HOST, start, report(1, 1, List.of()));
            }
            assertEquals(EvidenceCollection.MAXIMUM_STARTS, collection.sentToTarget());
        }
    }

    /** A crash ends all requests of a server; that is one fault, and not as many as it had requests. */
    @Nested
    class LostConnections {
        private final EvidenceCounts counts = EvidenceCounts.create();

        private void lose(long millis) {
            counts.record(ROUTE, true, "i-1@1", new EvidenceCounts.Ending.ConnectionLost(), millis * 1_000_000);
        }

        @Test
        void withinASecondAreThoseOfACrash() {
            lose(0);
            lose(900);
            assertEquals(2, counts.evidence().getFirst().lost());
            assertEquals(0, counts.evidence().getFirst().failures());
        }

        @Test
        void ofAStartThatGoesOnAreFailures() {
            lose(0);
            lose(1_100);
            lose(1_200);
            assertEquals(1, counts.evidence().getFirst().lost());
            assertEquals(2, counts.evidence().getFirst().failures());
        }
    }

    @Nested
    class Sizes {
        /** A control daemon at the planned size gets four of these a second from each of 370 daemons. */
        @Test
        void ofAReportOnThreeRoutesAndTwoServersStaySmall() {
            int bytes = bytes(counts(3, 2, 2_000));
            assertTrue(bytes < 1_400, bytes + " bytes");
        }

        /** A frame takes 64 KiB; contents of more than 16 KiB are passed on in parts. */
        @Test
        void ofManyRoutesAndServersAreBounded() {
            int bytes = bytes(counts(500, 10, 200_000));
            assertTrue(bytes < 16 * 1_024, bytes + " bytes");
        }
    }

    /** Versions must be compared at the same times: the target gets most of its answers late. */
    @Nested
    class MatchedSlices {
        private static RouteEvidence evidence(boolean target, long answers, long failures) {
            return new RouteEvidence(ROUTE, target, "", answers, failures, 0, 0, List.of(), List.of());
        }

        @Test
        void weightTheOthersByTheAnswersOfTheTarget() {
            EvidenceSlice early = EvidenceSlice.create();
            early.add(List.of(evidence(true, 1, 0), evidence(false, 1_000, 0)));
            EvidenceSlice late = EvidenceSlice.create();
            late.add(List.of(evidence(true, 100, 20), evidence(false, 1_000, 200)));
            EvidenceSlice matched = EvidenceSlice.create();
            matched.addMatched(early);
            matched.addMatched(late);
            EvidenceSlice.Counts others = matched.sum(false);
            assertEquals(505, others.answers(), 1e-6);
            assertEquals(100, others.failures(), 1e-6);
            assertTrue(VersionComparison.worse(matched, matched, VersionComparison.Strictness.doubting())
                    .isEmpty());
        }
    }

    @Nested
    class Buckets {
        @Test
        void growByAFixedFactor() {
            for (double millis = 2; millis < 40_000; millis *= 1.07) {
                int bucket = AnswerTimes.bucket(millis);
                assertTrue(millis < AnswerTimes.upperMillis(bucket) && millis >= AnswerTimes.upperMillis(bucket - 1));
            }
            assertEquals(AnswerTimes.BUCKETS - 1, AnswerTimes.bucket(1e9));
            assertEquals(0, AnswerTimes.bucket(0));
        }
    }
}
