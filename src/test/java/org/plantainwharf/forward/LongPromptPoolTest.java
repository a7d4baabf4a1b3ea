package org.plantainwharf.forward;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.ServerId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against short requests that wait behind long prompts, and against idle engines. */
class LongPromptPoolTest {
    private final LongPromptPool pool = new LongPromptPool();

    private static List<ServerId> servers(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> ServerId.of("i-" + index))
                .toList();
    }

    private void recordArrivals(int shortPrompts, int longPrompts) {
        for (int round = 0; round < 200; round++) {
            for (int index = 0; index < shortPrompts; index++) {
                pool.recordArrival(new PromptShape("m", 600, 40, List.of()));
            }
            for (int index = 0; index < longPrompts; index++) {
                pool.recordArrival(new PromptShape("m", 20_000, 40, List.of()));
            }
        }
    }

    @Nested
    class PoolMembers {
        @Test
        void areEmptyWithoutLongPrompts() {
            recordArrivals(10, 0);
            assertEquals(Set.of(), pool.members(servers(8)));
        }

        @Test
        void areEmptyWithASingleEngine() {
            recordArrivals(10, 1);
            assertEquals(Set.of(), pool.members(servers(1)));
        }

        @Test
        void leaveOneEngineForShortPrompts() {
            recordArrivals(1, 50);
            assertEquals(1, servers(4).size() - pool.members(servers(4)).size());
        }

        @Test
        void growWithTheWorkOfLongPrompts() {
            recordArrivals(30, 1);
            int few = pool.members(servers(10)).size();
            recordArrivals(1, 1);
            int many = pool.members(servers(10)).size();
            assertTrue(few < many, few + " and " + many);
        }

        /** Daemons may list the servers in different orders; all must select the same engines. */
        @Test
        void doNotDependOnTheOrderOfTheServers() {
            recordArrivals(10, 1);
            assertEquals(pool.members(servers(9)), pool.members(servers(9).reversed()));
        }
    }
}
