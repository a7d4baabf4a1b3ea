package org.plantainwharf.sheet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.difference.RowChange;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RouteName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against changes between two sheets that are not shown to the operator before the sheet is applied. */
class SheetDifferenceTest {
    private static final RankName URGENT = RankName.of("urgent");

    private static Sheet sheet(Map<AccountName, ClientAccount> accounts, double worth, List<Budget> budgets) {
        return Sheet.create(
                1,
                accounts,
                Map.of(URGENT, new Rank(URGENT, 300, 1000, worth, 0.5)),
                Map.of(RouteName.of("lookup"), new Route(RouteName.of("lookup"), URGENT, true)),
                budgets);
    }

    private static Map<AccountName, ClientAccount> accounts(String... names) {
        Map<AccountName, ClientAccount> accounts = new HashMap<>();
        for (String name : names) {
            AccountName account = AccountName.of(name);
            accounts.put(account, new ClientAccount(account, SheetDigest.ofKey(name), 1, 10, Set.of(URGENT)));
        }
        return accounts;
    }

    private static Budget budget(String zone, double price) {
        return new Budget(AvailabilityZone.of(zone), HostClass.of("small"), price, 10, true);
    }

    @Nested
    class EqualSheets {
        @Test
        void haveNoChange() {
            Sheet first = sheet(accounts("one", "two"), 3, List.of(budget("a", 1), budget("b", 1)));
            Sheet second = sheet(accounts("two", "one"), 3, List.of(budget("b", 1), budget("a", 1)));
            assertTrue(SheetDifference.between(first, second).isEmpty());
            assertEquals(first, second);
        }
    }

    @Nested
    class DifferentSheets {
        @Test
        void showAddedRemovedAndChangedRowsInOrder() {
            Sheet before = sheet(accounts("one", "two"), 3, List.of(budget("a", 1)));
            Sheet after = sheet(accounts("two", "three"), 4, List.of(budget("a", 1), budget("b", 1)));
            List<RowChange> changes = SheetDifference.between(before, after).changes();
            assertEquals(
                    List.of("account one", "account three", "rank urgent", "budget b/small"),
                    changes.stream().map(RowChange::subject).toList());
            assertTrue(changes.get(0) instanceof RowChange.Removed);
            assertTrue(changes.get(1) instanceof RowChange.Added);
            assertEquals(new RowChange.Changed("rank urgent", "worth", "3.0", "4.0"), changes.get(2));
        }

        @Test
        void showOnlyAPrefixOfKeyDigests() {
            Sheet before = sheet(accounts(), 3, List.of());
            Sheet after = sheet(accounts("one"), 3, List.of());
            String text = SheetDifference.between(before, after).toString();
            assertFalse(text.contains(SheetDigest.ofKey("one")));
        }
    }
}
