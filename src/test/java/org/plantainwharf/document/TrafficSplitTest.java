package org.plantainwharf.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServiceName;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a split of traffic that becomes another one, or none, by the size of its weights. */
class TrafficSplitTest {
    private static final int REQUESTS = 4_000;

    /** Deviation from the mean, in standard deviations, that no run of these properties reaches by chance. */
    private static final double DEVIATIONS = 6;

    private static RouteRule route(List<Long> weights) {
        List<RouteRule.Share> split = new ArrayList<>();
        for (int index = 0; index < weights.size(); index++) {
            split.add(new RouteRule.Share(ServiceName.of("desk-" + index), weights.get(index)));
        }
        return new RouteRule(
                RouteName.of("r-1"), "a.example", "/", Repeatability.SAFE, 1, 1, 0, split, 1, false, false, 0);
    }

    @Group
    @Label("Splits")
    class Splits {
        /** Draws weights whose sum is up to the largest long, many of them beyond the largest int. */
        @Provide
        Arbitrary<List<Long>> weights() {
            Arbitrary<Long> weight = Arbitraries.oneOf(
                    Arbitraries.longs().between(0, 100),
                    Arbitraries.of((long) Integer.MAX_VALUE, 2_000_000_000L, 1L << 31, 1L << 32, (1L << 32) + 1),
                    Arbitraries.longs().between(0, Long.MAX_VALUE / 4),
                    Arbitraries.of(Long.MAX_VALUE / 4));
            return weight.list().ofMinSize(1).ofMaxSize(4).filter(drawn -> drawn.stream()
                    .anyMatch(value -> value > 0));
        }

        /** No request of a route got an answer after both of its weights had been raised from 1 to 2,000,000,000. */
        @Property(tries = 300)
        void giveEachServiceItsShare(@ForAll("weights") List<Long> weights, @ForAll Random random) {
            RouteRule route = route(weights);
            Map<ServiceName, Integer> requests = new HashMap<>();
            for (int request = 0; request < REQUESTS; request++) {
                requests.merge(route.chooseService(random), 1, Integer::sum);
            }
            double sum = weights.stream().mapToDouble(Long::doubleValue).sum();
            for (RouteRule.Share share : route.split()) {
                double probability = share.weight() / sum;
                double mean = REQUESTS * probability;
                double deviation = Math.sqrt(mean * (1 - probability));
                int count = requests.getOrDefault(share.service(), 0);
                assertTrue(
                        Math.abs(count - mean) <= DEVIATIONS * deviation + 1,
                        share + " got " + count + " of " + REQUESTS + " in " + weights);
            }
        }
    }
}
