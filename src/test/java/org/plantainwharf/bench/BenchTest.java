package org.plantainwharf.bench;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests that the benchmark gives equal figures for equal seeds, and that the product's controllers protect urgent calls
 * in a flood of the lowest rank better than round robin does.
 */
class BenchTest {
    private static String print(String... arguments) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream output = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        assertEquals(0, Bench.run(arguments, output, output));
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Nested
    class Figures {
        @Test
        void areEqualForEqualSeeds() {
            RunResult first = FleetSimulation.run(
                    DeploymentProfile.all().getFirst(), Scenario.all().get(5), new Policy.ProductControllers(), 7);
            RunResult second = FleetSimulation.run(
                    DeploymentProfile.all().getFirst(), Scenario.all().get(5), new Policy.ProductControllers(), 7);
            assertEquals(first, second);
        }

        @Test
        void showUrgentWorkProtectedInAFloodOfTheLowestRank() {
            DeploymentProfile deployment = DeploymentProfile.all().getLast();
            Scenario flood = Scenario.all().get(1);
            double productPercent = FleetSimulation.run(deployment, flood, new Policy.ProductControllers(), 3)
                    .figures()
                    .getOrDefault(Measure.FLOOD_URGENT.key(), 0.0);
            double baselinePercent = FleetSimulation.run(deployment, flood, new Policy.RoundRobin(), 3)
                    .figures()
                    .getOrDefault(Measure.FLOOD_URGENT.key(), 100.0);
            assertTrue(
                    productPercent > baselinePercent,
                    productPercent + "% in target, round robin " + baselinePercent + "%");
        }
    }

    @Nested
    class Options {
        @Test
        void areListedByHelp() {
            assertTrue(print("--help").contains("--seed"));
        }

        @Test
        void areRefusedWhenUnknown() {
            PrintStream nowhere = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
            assertEquals(2, Bench.run(new String[] {"--fast"}, nowhere, nowhere));
        }
    }
}
