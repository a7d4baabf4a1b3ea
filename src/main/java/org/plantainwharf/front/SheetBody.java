package org.plantainwharf.front;

import java.util.Comparator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.plantainwharf.sheet.Sheet;

/** Encodes a sheet as JSON, without the digests of account keys. Stateless; thread-safe. */
final class SheetBody {
    private static final ObjectMapper JSON = new ObjectMapper();

    private SheetBody() {}

    static ObjectNode toJson(Sheet sheet) {
        ObjectNode body =
                JSON.createObjectNode().put("version", sheet.version()).put("digest", sheet.digest());
        ArrayNode accounts = body.putArray("accounts");
        sheet.accounts().values().stream()
                .sorted(Comparator.comparing(account -> account.name().value()))
                .forEach(account -> {
                    ArrayNode ranks = accounts.addObject()
                            .put("name", account.name().value())
                            .put("weight", account.weight())
                            .put("requests_per_second", account.requestsPerSecond())
                            .putArray("ranks");
                    account.ranks().stream().map(rank -> rank.value()).sorted().forEach(ranks::add);
                });
        ArrayNode ranks = body.putArray("ranks");
        sheet.ranks().values().stream()
                .sorted(Comparator.comparing(rank -> rank.name().value()))
                .forEach(rank -> ranks.addObject()
                        .put("name", rank.name().value())
                        .put("latency_target_ms", rank.latencyTargetMillis())
                        .put("deadline_ms", rank.deadlineMillis())
                        .put("worth", rank.worth())
                        .put("floor", rank.floorShare()));
        ArrayNode routes = body.putArray("routes");
        sheet.routes().values().stream()
                .sorted(Comparator.comparing(route -> route.name().value()))
                .forEach(route -> routes.addObject()
                        .put("name", route.name().value())
                        .put("rank", route.rank().value())
                        .put("repeatable", route.repeatable()));
        ArrayNode budgets = body.putArray("budgets");
        sheet.budgets().forEach(budget -> budgets.addObject()
                .put("zone", budget.zone().value())
                .put("host_class", budget.hostClass().value())
                .put("price_per_hour", budget.pricePerHour())
                .put("maximum_per_hour", budget.maximumPerHour())
                .put("reclaimable", budget.reclaimable()));
        return body;
    }
}
