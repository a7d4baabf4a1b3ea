package org.plantainwharf.sheet.csv;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.sheet.Budget;
import org.plantainwharf.sheet.ClientAccount;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Route;
import org.plantainwharf.sheet.Sheet;
import org.plantainwharf.sheet.SheetDifference;
import org.plantainwharf.sheet.SheetDigest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a sheet that changes when it is written as CSV and parsed again without edits. */
class SheetRoundTripTest {
    @Group
    class WrittenSheet {
        @Property(tries = 300, seed = "20261204")
        void isReadAsTheSameSheet(@ForAll("sheets") Sheet sheet, @ForAll("variants") CsvVariant variant) {
            assertEquals(
                    sheet, SheetParser.parse(SheetWriter.write(sheet, variant)).get());
        }

        @Property(tries = 100, seed = "20261204")
        void hasTheSameContentInBothVariants(@ForAll("sheets") Sheet sheet) {
            Sheet semicolon = SheetParser.parse(SheetWriter.write(sheet, new CsvVariant.Semicolon()))
                    .get();
            Sheet comma = SheetParser.parse(SheetWriter.write(sheet, new CsvVariant.Comma()))
                    .get();
            assertEquals(semicolon.digest(), comma.digest());
            assertTrue(SheetDifference.between(semicolon, comma).isEmpty());
        }

        @Provide
        Arbitrary<CsvVariant> variants() {
            return Arbitraries.of(new CsvVariant.Semicolon(), new CsvVariant.Comma());
        }

        @Provide
        Arbitrary<Sheet> sheets() {
            Arbitrary<Set<String>> names = names().set().ofMinSize(1).ofMaxSize(6);
            Arbitrary<List<Double>> numbers = numbers().list().ofSize(40);
            return Combinators.combine(Arbitraries.longs().between(1, Long.MAX_VALUE), names, names, numbers)
                    .as(WrittenSheet::sheet);
        }

        private static Arbitrary<String> names() {
            return Combinators.combine(
                            Arbitraries.strings()
                                    .withCharRange('a', 'z')
                                    .numeric()
                                    .ofLength(1),
                            Arbitraries.strings()
                                    .withCharRange('a', 'z')
                                    .withCharRange('A', 'Z')
                                    .numeric()
                                    .withChars("._-")
                                    .ofMaxLength(12))
                    .as(String::concat);
        }

        private static Arbitrary<Double> numbers() {
            return Arbitraries.oneOf(
                    Arbitraries.doubles().between(0.001, 1e9).ofScale(3),
                    Arbitraries.doubles().between(1, 999).ofScale(3),
                    Arbitraries.integers().between(1, 5000).map(Integer::doubleValue));
        }

        private static Sheet sheet(
                long version, Set<String> accountNames, Set<String> rankNames, List<Double> numbers) {
            Map<AccountName, ClientAccount> accounts = new HashMap<>();
            Map<RankName, Rank> ranks = new HashMap<>();
            Map<RouteName, Route> routes = new HashMap<>();
            Set<Budget> budgets = new HashSet<>();
            int next = 0;
            for (String name : rankNames) {
                long target = Math.max(1, numbers.get(next).longValue() % 100_000);
                ranks.put(
                        RankName.of(name),
                        new Rank(
                                RankName.of(name),
                                target,
                                target * 2,
                                numbers.get(next++),
                                1.0 / (rankNames.size() + 1)));
                routes.put(
                        RouteName.of("to-" + name),
                        new Route(RouteName.of("to-" + name), RankName.of(name), next % 2 == 0));
                budgets.add(new Budget(
                        AvailabilityZone.of(name),
                        HostClass.of("class" + next),
                        numbers.get(next++),
                        numbers.get(next++),
                        next % 3 == 0));
            }
            for (String name : accountNames) {
                accounts.put(
                        AccountName.of(name),
                        new ClientAccount(
                                AccountName.of(name),
                                SheetDigest.ofKey(name),
                                numbers.get(next++),
                                numbers.get(next++),
                                ranks.keySet()));
            }
            return Sheet.create(version, accounts, ranks, routes, List.copyOf(budgets));
        }
    }
}
