package org.plantainwharf.document;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServiceName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that reach the wrong route, and against keys that are mapped to the wrong account. */
class RouteTableTest {
    private static RouteRule route(String name, String host, String prefix) {
        return new RouteRule(
                RouteName.of(name),
                host,
                prefix,
                Repeatability.SAFE,
                1_000,
                100,
                0,
                List.of(new RouteRule.Share(ServiceName.of("desk"), 1)),
                1,
                false,
                false,
                0);
    }

    private static RouteTable table(RouteRule... routes) {
        return RouteTable.of(new ServiceDocument(
                1,
                List.of(routes),
                Map.of(),
                CallerBounds.defaults(),
                List.of(new AccountRule(
                        AccountName.of("acme"), Set.of("k1", "k2"), OptionalLong.empty(), false, 0, 0, 0))));
    }

    private static Optional<String> name(RouteTable table, String host, String path) {
        return table.route(host, path).map(route -> route.name().value());
    }

    @Nested
    class Routes {
        private final RouteTable table = table(
                route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("b", "b.example", "/"));

        @Test
        void withTheLongestPrefixWin() {
            assertEquals(Optional.of("long"), name(table, "a.example", "/x/y/z"));
            assertEquals(Optional.of("short"), name(table, "a.example", "/x/yz"));
        }

        @Test
        void ofAnotherHostDoNotMatch() {
            assertEquals(Optional.of("b"), name(table, "b.example", "/x/y/z"));
            assertEquals(Optional.empty(), name(table, "c.example", "/x/"));
        }

        @Test
        void matchWholeSegmentsOnly() {
            assertEquals(Optional.empty(), name(table, "a.example", "/x"));
            assertEquals(Optional.empty(), name(table, "a.example", "/xy/"));
        }

        @Test
        void matchTheHostIgnoringCase() {
            assertEquals(Optional.of("short"), name(table, "A.Example", "/x/1"));
        }
    }

    @Nested
    class Keys {
        @Test
        void matchOnlyTheirAccount() {
            RouteTable table = table();
            assertTrue(table.requiresKeys());
            assertEquals("acme", table.account("k2").orElseThrow().name().value());
            assertEquals(Optional.empty(), table.account("k3"));
            assertEquals(Optional.empty(), table.account("K2"));
        }
    }
}
