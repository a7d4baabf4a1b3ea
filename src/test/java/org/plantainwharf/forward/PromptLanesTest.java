package org.plantainwharf.forward;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.ServerId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against short requests that wait behind long prompts, and against engines that stand idle. */
class PromptLanesTest {
    private final PromptLanes lanes = new PromptLanes();

    private static List<ServerId> servers(int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> ServerId.of("i-" + index))
                .toList();
    }

    private void arrive(int shortPrompts, int longPrompts) {
        for (int round = 0; round < 200; round++) {
            for (int index = 0; index < shortPrompts; index++) {
                lanes.arrived(new PromptShape("m", 600, 40, List.of()));
            }
            for (int index = 0; index < longPrompts; index++) {
                lanes.arrived(new PromptShape("m", 20_000, 40, List.of()));
            }
        }
    }

    @Nested
    class EnginesForLongPrompts {
        @Test
        void areNoneWithoutLongPrompts() {
            arrive(10, 0);
            assertEquals(Set.of(), lanes.longServers(servers(8)));
        }

        @Test
        void areNoneWhereOneEngineServesAll() {
            arrive(10, 1);
            assertEquals(Set.of(), lanes.longServers(servers(1)));
        }

        @Test
        void leaveOneForShortPrompts() {
            arrive(1, 50);
            assertEquals(1, servers(4).size() - lanes.longServers(servers(4)).size());
        }

        @Test
        void followTheWorkThatLongPromptsMake() {
            arrive(30, 1);
            int few = lanes.longServers(servers(10)).size();
            arrive(1, 1);
            int many = lanes.longServers(servers(10)).size();
            assertTrue(few < many, few + " and " + many);
        }

        /** Daemons list servers in other orders; all must keep the same engines. */
        @Test
        void areTheSameInEveryOrder() {
            arrive(10, 1);
            assertEquals(
                    lanes.longServers(servers(9)), lanes.longServers(servers(9).reversed()));
        }
    }
}
