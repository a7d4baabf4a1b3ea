package org.plantainwharf.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
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

/**
 * Parses a daemon's JSON response that describes the sheet in force. The response omits key digests, so they are
 * copied from the sheet that it is compared with. A changed key is therefore visible only in the digest of the whole
 * content. Stateless; thread-safe.
 */
final class SheetResponseReader {
    private static final String NAME = "name";

    private SheetResponseReader() {}

    /**
     * Returns the sheet in force, with key digests copied from another sheet.
     *
     * @param keyDigestSource sheet with the key digests; an account that it lacks gets an empty digest
     */
    static Sheet read(JsonNode response, Sheet keyDigestSource) {
        Map<AccountName, ClientAccount> accounts = new HashMap<>();
        for (JsonNode node : response.path("accounts")) {
            AccountName name = AccountName.of(node.path(NAME).asText());
            ClientAccount source = keyDigestSource.accounts().get(name);
            Set<RankName> ranks = new HashSet<>();
            node.path("ranks").forEach(rank -> ranks.add(RankName.of(rank.asText())));
            accounts.put(
                    name,
                    new ClientAccount(
                            name,
                            source == null ? "" : source.keyDigest(),
                            node.path("weight").asDouble(),
                            node.path("requests_per_second").asDouble(),
                            ranks));
        }
        Map<RankName, Rank> ranks = new HashMap<>();
        for (JsonNode node : response.path("ranks")) {
            RankName name = RankName.of(node.path(NAME).asText());
            ranks.put(
                    name,
                    new Rank(
                            name,
                            node.path("latency_target_ms").asLong(),
                            node.path("deadline_ms").asLong(),
                            node.path("worth").asDouble(),
                            node.path("floor").asDouble()));
        }
        Map<RouteName, Route> routes = new HashMap<>();
        for (JsonNode node : response.path("routes")) {
            RouteName name = RouteName.of(node.path(NAME).asText());
            routes.put(
                    name,
                    new Route(
                            name,
                            RankName.of(node.path("rank").asText()),
                            node.path("repeatable").asBoolean()));
        }
        List<Budget> budgets = new ArrayList<>();
        for (JsonNode node : response.path("budgets")) {
            budgets.add(new Budget(
                    AvailabilityZone.of(node.path("zone").asText()),
                    HostClass.of(node.path("host_class").asText()),
                    node.path("price_per_hour").asDouble(),
                    node.path("maximum_per_hour").asDouble(),
                    node.path("reclaimable").asBoolean()));
        }
        return new Sheet(
                response.path("version").asLong(), response.path("digest").asText(), accounts, ranks, routes, budgets);
    }
}
