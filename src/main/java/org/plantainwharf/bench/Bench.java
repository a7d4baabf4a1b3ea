package org.plantainwharf.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Command-line benchmark that compares the product's controllers with baseline policies. Prints one table for each
 * measure, with medians over several seeds. Equal seeds give equal figures, except for the request path, which is
 * measured in processor time. Stateless.
 */
public final class Bench {
    private static final int QUICK_SEED_COUNT = 3;
    private static final int DEFAULT_SEED_COUNT = 9;
    private static final long DEFAULT_SEED = 1;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private Bench() {}

    /** Runs the benchmark and ends the process with its exit code. */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err));
    }

    /**
     * Runs the benchmark on the standard streams. Returns the exit code: 0 on success, 1 if the figures cannot be
     * written, 2 for invalid options.
     */
    public static int run(String[] arguments) {
        return run(arguments, System.out, System.err);
    }

    /** As {@link #run(String[])}, with output to the given streams. */
    static int run(String[] arguments, PrintStream output, PrintStream errors) {
        OptionParser parser = new OptionParser();
        OptionSpec<Void> quick = parser.accepts("quick", "run three seeds instead of nine");
        OptionSpec<Long> seed = parser.accepts("seed", "first seed")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(DEFAULT_SEED);
        OptionSpec<String> json = parser.accepts("json", "file to which the figures are written as JSON")
                .withRequiredArg();
        OptionSpec<String> scenario = parser.accepts("scenario", "run only scenarios whose name contains this text")
                .withRequiredArg();
        OptionSpec<Void> requestPath = parser.accepts(
                "request-path", "measure processor time and heap of the request path instead of printing the tables");
        OptionSpec<Void> help = parser.accepts("help", "show this help").forHelp();
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has(help)) {
                parser.printHelpOn(output);
                return 0;
            }
            if (options.has(requestPath)) {
                RequestPathBenchmark.measure(output);
                return 0;
            }
            String scenarioFilter = options.has(scenario) ? options.valueOf(scenario) : "";
            Map<String, Map<String, Map<String, Map<String, Double>>>> figures = measureMedians(
                    scenarioFilter, options.valueOf(seed), options.has(quick) ? QUICK_SEED_COUNT : DEFAULT_SEED_COUNT);
            printTables(figures, output);
            if (options.has(json)) {
                Files.writeString(
                        Path.of(options.valueOf(json)),
                        new ObjectMapper()
                                .enable(SerializationFeature.INDENT_OUTPUT)
                                .writeValueAsString(figures));
            }
            return 0;
        } catch (OptionException e) {
            errors.println("plantainwharf bench: " + e.getMessage() + "; see --help");
            return EXIT_USAGE;
        } catch (IOException | UncheckedIOException e) {
            errors.println("plantainwharf bench: cannot write the figures: " + e.getMessage());
            return EXIT_FAILED;
        }
    }

    /** Returns the medians by name of deployment, scenario, policy and figure. */
    static Map<String, Map<String, Map<String, Map<String, Double>>>> measureMedians(
            String scenarioFilter, long seed, int seedCount) {
        Map<String, Map<String, Map<String, Map<String, Double>>>> byDeployment = new LinkedHashMap<>();
        for (DeploymentProfile deployment : DeploymentProfile.all()) {
            Map<String, Map<String, Map<String, Double>>> byScenario = new LinkedHashMap<>();
            for (Scenario scenario : Scenario.all()) {
                if (scenario.name().contains(scenarioFilter)) {
                    Map<String, Map<String, Double>> byPolicy = new LinkedHashMap<>();
                    for (Policy policy : Policy.all()) {
                        byPolicy.put(policy.label(), medians(deployment, scenario, policy, seed, seedCount));
                    }
                    byScenario.put(scenario.name(), byPolicy);
                }
            }
            byDeployment.put(deployment.name(), byScenario);
        }
        return byDeployment;
    }

    private static Map<String, Double> medians(
            DeploymentProfile deployment, Scenario scenario, Policy policy, long seed, int seedCount) {
        List<RunResult> results = new ArrayList<>();
        for (int run = 0; run < seedCount; run++) {
            results.add(FleetSimulation.run(deployment, scenario, policy, seed + run));
        }
        Map<String, Double> medians = new LinkedHashMap<>();
        for (Measure measure : Measure.values()) {
            double[] values = results.stream()
                    .mapToDouble(result -> result.figures().getOrDefault(measure.key(), Double.NaN))
                    .sorted()
                    .toArray();
            medians.put(measure.key(), Math.round(values[values.length / 2] * 1_000) / 1_000.0);
        }
        return medians;
    }

    private static void printTables(
            Map<String, Map<String, Map<String, Map<String, Double>>>> figures, PrintStream output) {
        String group = "";
        for (Measure measure : Measure.values()) {
            if (!measure.group().equals(group)) {
                group = measure.group();
                output.println();
                output.println("## " + group);
            }
            output.println();
            output.printf("%s (%s is better)%n", measure.title(), measure.lowerIsBetter() ? "lower" : "higher");
            output.printf("  %-12s%-28s", "firm", "scenario");
            Policy.all().forEach(policy -> output.printf("%18s", policy.label()));
            output.println();
            figures.forEach((firm, scenarios) -> scenarios.forEach((scenario, policies) -> {
                output.printf("  %-12s%-28s", firm, scenario);
                policies.values().forEach(values -> output.printf(Locale.ROOT, "%18.2f", values.get(measure.key())));
                output.println();
            }));
        }
    }
}
