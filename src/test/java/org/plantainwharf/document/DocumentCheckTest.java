package org.plantainwharf.document;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.difference.RowChange;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServiceName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against documents whose mistakes nobody sees before they are in force, and against keys in what is printed. */
class DocumentCheckTest {
    private static final ServiceName SERVICE = ServiceName.of("engines");
    private static final String KEY = "very-secret-key";

    private static RouteRule route(String host, String prefix, Repeatability repeatability) {
        return new RouteRule(
                RouteName.of("chat"),
                host,
                prefix,
                repeatability,
                1_000,
                100,
                0,
                List.of(new RouteRule.Share(SERVICE, 1)),
                1,
                false,
                false,
                0);
    }

    private static ServiceRule service(ServiceName name) {
        return new ServiceRule(name, 10, Optional.empty(), Optional.empty());
    }

    private static AccountRule account(
            Set<String> keys, boolean tokens, long defaultTokens, double rate, double burst) {
        return new AccountRule(AccountName.of("acme"), keys, OptionalLong.empty(), tokens, defaultTokens, rate, burst);
    }

    private static ServiceDocument document(
            long version, List<RouteRule> routes, List<ServiceRule> services, List<AccountRule> accounts) {
        Map<ServiceName, ServiceRule> byName = new java.util.HashMap<>();
        services.forEach(service -> byName.put(service.name(), service));
        return new ServiceDocument(version, routes, byName, CallerBounds.defaults(), accounts);
    }

    private static List<DocumentFinding> findings(RouteRule... routes) {
        return DocumentCheck.findings(document(1, List.of(routes), List.of(service(SERVICE)), List.of()));
    }

    private static List<DocumentFinding> findings(AccountRule account) {
        return DocumentCheck.findings(document(
                1,
                List.of(route("a.example", "/x/", Repeatability.SAFE)),
                List.of(service(SERVICE)),
                List.of(account)));
    }

    @Nested
    class SoundDocuments {
        @Test
        void haveNoFindings() {
            assertEquals(List.of(), findings(route("a.example", "/x/", Repeatability.SAFE)));
            assertEquals(List.of(), findings(account(Set.of(KEY), true, 200, 1_000, 1_000)));
        }
    }

    @Nested
    class EntriesThatNeverMatch {
        private void assertNeverMatches(List<DocumentFinding> found) {
            assertEquals(1, found.size(), found::toString);
            assertTrue(found.get(0) instanceof DocumentFinding.NeverMatches, found::toString);
        }

        @Test
        void areRoutesWhosePrefixNoPathHas() {
            assertNeverMatches(findings(route("a.example", "x/", Repeatability.SAFE)));
            assertNeverMatches(findings(route("a.example", "/x?y=/", Repeatability.SAFE)));
            assertNeverMatches(findings(route("a.example/x", "/x/", Repeatability.SAFE)));
        }

        @Test
        void areRoutesThatDifferOnlyInTheCaseOfTheHost() {
            assertNeverMatches(findings(
                    route("a.example", "/x/", Repeatability.SAFE), route("A.Example", "/x/", Repeatability.SAFE)));
        }

        @Test
        void areServicesWithoutARoute() {
            assertNeverMatches(DocumentCheck.findings(document(
                    1,
                    List.of(route("a.example", "/x/", Repeatability.SAFE)),
                    List.of(service(SERVICE), service(ServiceName.of("unused"))),
                    List.of())));
        }

        @Test
        void areAccountsWithoutAKey() {
            assertNeverMatches(findings(account(Set.of(), false, 0, 0, 0)));
        }
    }

    @Nested
    class LimitsThatContradict {
        private void assertContradiction(List<DocumentFinding> found) {
            assertEquals(1, found.size(), found::toString);
            assertTrue(found.get(0) instanceof DocumentFinding.Contradiction, found::toString);
        }

        @Test
        void areTargetsBeyondTheTimeout() {
            RouteRule route = new RouteRule(
                    RouteName.of("chat"),
                    "a.example",
                    "/x/",
                    Repeatability.STREAM,
                    1_000,
                    1_001,
                    0,
                    List.of(new RouteRule.Share(SERVICE, 1)),
                    1,
                    false,
                    true,
                    500);
            assertContradiction(findings(route));
        }

        @Test
        void areBurstsThatNoRequestFitsIn() {
            assertContradiction(findings(account(Set.of(KEY), true, 200, 1_000, 100)));
            assertContradiction(findings(account(Set.of(KEY), false, 0, 5, 0)));
        }

        @Test
        void areNumbersOfServers() {
            ServiceRule.Scaling scaling = new ServiceRule.Scaling(3, 2, 1_000, 0.5, Map.of());
            ServiceRule service = new ServiceRule(SERVICE, 10, Optional.empty(), Optional.of(scaling));
            assertContradiction(DocumentCheck.findings(
                    document(1, List.of(route("a.example", "/x/", Repeatability.SAFE)), List.of(service), List.of())));
        }

        @Test
        void areEnginesWithoutMemoryForTheirSlots() {
            ServiceRule service =
                    new ServiceRule(SERVICE, 10, Optional.of(new ServiceRule.Engine(16, 0)), Optional.empty());
            assertContradiction(DocumentCheck.findings(
                    document(1, List.of(route("a.example", "/x/", Repeatability.SAFE)), List.of(service), List.of())));
        }
    }

    @Nested
    class FieldsWithoutEffect {
        @Test
        void areStreamFieldsOfOtherRoutesAndBurstsWithoutARate() {
            RouteRule route = new RouteRule(
                    RouteName.of("order"),
                    "a.example",
                    "/x/",
                    Repeatability.ONCE,
                    1_000,
                    100,
                    0,
                    List.of(new RouteRule.Share(SERVICE, 1)),
                    1,
                    false,
                    true,
                    400);
            List<DocumentFinding> found = findings(route);
            assertEquals(2, found.size(), found::toString);
            assertTrue(found.stream().allMatch(DocumentFinding.WithoutEffect.class::isInstance), found::toString);
            assertTrue(findings(account(Set.of(KEY), false, 0, 0, 9)).get(0) instanceof DocumentFinding.WithoutEffect);
        }
    }

    @Nested
    class Differences {
        private final ServiceDocument before = document(
                4,
                List.of(route("a.example", "/x/", Repeatability.SAFE)),
                List.of(service(SERVICE)),
                List.of(account(Set.of(KEY), false, 0, 5, 5)));

        @Test
        void areEmptyForTheSameContent() {
            assertEquals(List.of(), DocumentDifference.between(before, before).changes());
        }

        @Test
        void nameWhatChangedAndShowNoKey() {
            ServiceRule.Scaling scaling =
                    new ServiceRule.Scaling(1, 2, 1_000, 0.5, Map.of(AvailabilityZone.of("zone-a"), 1.0));
            ServiceDocument after = document(
                    5,
                    List.of(route("a.example", "/y/", Repeatability.SAFE)),
                    List.of(new ServiceRule(SERVICE, 10, Optional.empty(), Optional.of(scaling))),
                    List.of(account(Set.of(KEY, KEY + "2"), false, 0, 6, 5)));
            List<RowChange> changes = DocumentDifference.between(before, after).changes();
            assertEquals(
                    List.of("route chat", "service engines", "account acme", "account acme"),
                    changes.stream().map(RowChange::subject).toList());
            assertFalse(changes.toString().contains(KEY), changes::toString);
        }

        @Test
        void tellRoutesOfOneNameApart() {
            ServiceDocument after = document(
                    5,
                    List.of(
                            route("a.example", "/x/", Repeatability.SAFE),
                            route("a.example", "/y/", Repeatability.SAFE)),
                    List.of(service(SERVICE)),
                    before.accounts());
            List<RowChange> changes = DocumentDifference.between(before, after).changes();
            assertEquals(
                    List.of("route chat", "route chat a.example/x/", "route chat a.example/y/"),
                    changes.stream().map(RowChange::subject).toList());
        }
    }
}
