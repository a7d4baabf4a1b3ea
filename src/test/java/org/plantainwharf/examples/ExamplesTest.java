package org.plantainwharf.examples;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.settings.SettingsReader;
import org.plantainwharf.settings.SettingsRules;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Sheet;
import org.plantainwharf.sheet.csv.SheetParser;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against example settings and sheets that the program itself rejects. */
class ExamplesTest {
    private static final Path EXAMPLES = Path.of("examples");

    private static List<Settings> settings(String firm) throws IOException {
        List<Settings> settings = new ArrayList<>();
        try (Stream<Path> files = Files.list(EXAMPLES.resolve(firm).resolve("settings"))) {
            for (Path file : files.sorted().toList()) {
                settings.add(SettingsReader.read(file)
                        .getOrElseThrow(problems -> new AssertionError(file + ": " + problems.text())));
            }
        }
        return settings;
    }

    private static Sheet sheet(String firm) throws IOException {
        return SheetParser.parse(Files.readAllBytes(EXAMPLES.resolve(firm).resolve("sheet.csv")))
                .getOrElseThrow(problems -> new AssertionError(problems.text()));
    }

    @Nested
    class SettingsOfAFirm {
        @ParameterizedTest
        @ValueSource(strings = {"klamerka", "kegelbond"})
        void describeEightDaemonsInFourZones(String firm) throws IOException {
            List<Settings> all = settings(firm);
            assertEquals(8, all.size());
            assertEquals(4, all.stream().map(Settings::zone).distinct().count());
            Set<String> addresses = new HashSet<>();
            for (Settings settings : all) {
                assertEquals(all.get(0).hosts(), settings.hosts(), "every daemon must list the same hosts");
                assertTrue(addresses.add(settings.callerAddress()));
                assertTrue(addresses.add(settings.operatorAddress()));
                assertTrue(addresses.add(settings.peerAddress()));
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"klamerka", "kegelbond"})
        void placeFiveVotersToTolerateTheLossOfAnyZone(String firm) throws IOException {
            for (Settings settings : settings(firm)) {
                assertEquals(List.of(), SettingsRules.warnings(settings));
            }
            Map<AvailabilityZone, Long> voters = settings(firm).get(0).hosts().stream()
                    .filter(Settings.HostEntry::voter)
                    .collect(Collectors.groupingBy(Settings.HostEntry::zone, Collectors.counting()));
            assertEquals(
                    List.of(1L, 1L, 1L, 2L), voters.values().stream().sorted().toList());
        }
    }

    @Nested
    class SheetOfAFirm {
        @ParameterizedTest
        @ValueSource(strings = {"klamerka", "kegelbond"})
        void hasFiveAccountsThreeRanksAndBudgetsForEveryZone(String firm) throws IOException {
            Sheet sheet = sheet(firm);
            assertEquals(5, sheet.accounts().size());
            assertEquals(3, sheet.ranks().size());
            assertEquals(
                    settings(firm).stream().map(Settings::zone).collect(Collectors.toSet()),
                    sheet.budgets().stream().map(budget -> budget.zone()).collect(Collectors.toSet()));
            assertTrue(sheet.routes().values().stream().anyMatch(route -> !route.repeatable()));
        }

        @ParameterizedTest
        @ValueSource(strings = {"klamerka", "kegelbond"})
        void givesMoreUrgentRanksMoreWorth(String firm) throws IOException {
            List<Rank> byTarget = sheet(firm).ranks().values().stream()
                    .sorted(java.util.Comparator.comparingLong(Rank::latencyTargetMillis))
                    .toList();
            for (int index = 1; index < byTarget.size(); index++) {
                assertTrue(byTarget.get(index - 1).worth() > byTarget.get(index).worth());
            }
        }
    }
}
