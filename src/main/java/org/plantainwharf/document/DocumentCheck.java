package org.plantainwharf.document;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.ServiceName;

/**
 * Finds entries of a service document that never match, fields without effect, and limits that contradict each other. A
 * document with findings is valid and could be put in force. Findings never contain an account key. Used by one thread.
 */
public final class DocumentCheck {
    /** Characters that occur in no path or host of a request, since they end it. */
    private static final String DELIMITERS = "?# \t";

    private final ServiceDocument document;
    private final List<DocumentFinding> findings = new ArrayList<>();

    private DocumentCheck(ServiceDocument document) {
        this.document = document;
    }

    /** Returns the findings in the order of the document: routes, services, accounts. */
    public static List<DocumentFinding> findings(ServiceDocument document) {
        DocumentCheck check = new DocumentCheck(document);
        check.checkRoutes();
        check.checkServices();
        check.checkAccounts();
        return List.copyOf(check.findings);
    }

    private void checkRoutes() {
        Map<String, RouteRule> first = new HashMap<>();
        for (RouteRule route : document.routes()) {
            String subject = "route " + route.name();
            checkPattern(route, subject);
            @Nullable
            RouteRule earlier =
                    first.putIfAbsent(route.host().toLowerCase(Locale.ROOT) + " " + route.pathPrefix(), route);
            if (earlier != null) {
                neverMatches(
                        subject, "route " + earlier.name() + " has the same prefix and the same host in another case");
            }
            checkRouteFields(route, subject);
        }
    }

    private void checkPattern(RouteRule route, String subject) {
        if (!route.pathPrefix().startsWith("/")) {
            neverMatches(
                    subject, "its prefix " + route.pathPrefix() + " does not start with a slash, as every path does");
        }
        if (containsDelimiter(route.pathPrefix())) {
            neverMatches(subject, "its prefix " + route.pathPrefix() + " contains a character that no path contains");
        }
        if (containsDelimiter(route.host()) || route.host().contains("/")) {
            neverMatches(subject, "its host " + route.host() + " contains a character that no host contains");
        }
    }

    private static boolean containsDelimiter(String text) {
        return text.chars().anyMatch(character -> DELIMITERS.indexOf(character) >= 0);
    }

    private void checkRouteFields(RouteRule route, String subject) {
        for (RouteRule.Share share : route.split()) {
            if (share.weight() == 0) {
                neverMatches(subject, "service " + share.service() + " has the weight 0 and gets no request");
            }
        }
        if (route.targetLatencyMillis() > route.timeoutMillis()) {
            contradiction(
                    subject,
                    "its target latency of " + route.targetLatencyMillis() + " ms is longer than its timeout of "
                            + route.timeoutMillis() + " ms");
        }
        if (route.targetEventIntervalMillis() > route.timeoutMillis()) {
            contradiction(
                    subject,
                    "its target of " + route.targetEventIntervalMillis()
                            + " ms between events is longer than its timeout of " + route.timeoutMillis() + " ms");
        }
        if (route.repeatability() != Repeatability.STREAM) {
            if (route.resumable()) {
                withoutEffect(subject, "only streams can be resumed, and it is none");
            }
            if (route.targetEventIntervalMillis() > 0) {
                withoutEffect(subject, "a target for the time between events applies to streams only, and it is none");
            }
        }
    }

    private void checkServices() {
        Set<ServiceName> reached = new HashSet<>();
        document.routes().forEach(route -> route.split().stream()
                .filter(share -> share.weight() > 0)
                .forEach(share -> reached.add(share.service())));
        document.services().values().stream()
                .sorted((one, other) ->
                        one.name().value().compareTo(other.name().value()))
                .forEach(service -> checkService(service, reached.contains(service.name())));
    }

    private void checkService(ServiceRule service, boolean reached) {
        String subject = "service " + service.name();
        if (!reached) {
            neverMatches(subject, "no route leads to it");
        }
        service.engine()
                .filter(engine -> engine.memoryCapacityTokens() < engine.slots())
                .ifPresent(engine -> contradiction(
                        subject,
                        "its engines have " + engine.slots() + " slots but memory for " + engine.memoryCapacityTokens()
                                + " tokens"));
        service.scaling().ifPresent(scaling -> {
            if (scaling.minimumServers() > scaling.maximumServers()) {
                contradiction(
                        subject,
                        "at least " + scaling.minimumServers() + " and at most " + scaling.maximumServers()
                                + " servers are wanted in a zone");
            } else if (reached && scaling.maximumServers() == 0) {
                contradiction(subject, "routes lead to it, but at most 0 servers are wanted in a zone");
            }
        });
    }

    private void checkAccounts() {
        for (AccountRule account : document.accounts()) {
            String subject = "account " + account.name();
            if (account.keys().isEmpty()) {
                neverMatches(subject, "it has no key");
            }
            if (!account.limited() && account.burst() > 0) {
                withoutEffect(subject, "its burst of " + account.burst() + " applies only with a rate above 0");
            }
            if (!account.limitCountsTokens() && account.defaultTokens() > 0) {
                withoutEffect(subject, "tokens are charged only if its limit counts tokens");
            }
            double smallest = account.limitCountsTokens() ? account.defaultTokens() : 1;
            if (account.limited() && account.burst() < smallest) {
                contradiction(
                        subject,
                        "its burst of " + account.burst() + " is less than the " + smallest
                                + " that a request without a prompt is charged");
            }
        }
    }

    private void neverMatches(String subject, String problem) {
        findings.add(new DocumentFinding.NeverMatches(subject, problem));
    }

    private void withoutEffect(String subject, String problem) {
        findings.add(new DocumentFinding.WithoutEffect(subject, problem));
    }

    private void contradiction(String subject, String problem) {
        findings.add(new DocumentFinding.Contradiction(subject, problem));
    }
}
