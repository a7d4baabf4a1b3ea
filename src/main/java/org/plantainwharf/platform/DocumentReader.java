package org.plantainwharf.platform;

import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import io.vavr.control.Either;
import org.plantainwharf.call.Content;
import org.plantainwharf.document.AccountRule;
import org.plantainwharf.document.CallerBounds;
import org.plantainwharf.document.DocumentCodec;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServiceName;

/** Decodes the operator's config, one JSON object, into a service document. Immutable and thread-safe. */
final class DocumentReader implements DocumentCodec {
    /** Unit of account limits that count tokens; limits with any other unit count requests. */
    private static final String TOKEN_UNIT = "token_count";

    private static final long DEFAULT_TARGET_LATENCY_MILLIS = 1_000;

    private static final ObjectReader JSON = new ObjectMapper()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .reader();

    private DocumentReader() {}

    static DocumentReader create() {
        return new DocumentReader();
    }

    @Override
    public Either<Failure, ServiceDocument> decode(Content content) {
        try {
            return read(JSON.readTree(content.bytes()));
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorKind.DOCUMENT_INVALID, "not valid JSON: " + e.getMessage()));
        }
    }

    private static Either<Failure, ServiceDocument> read(JsonNode root) {
        FieldReader reader = FieldReader.of(root);
        // The smallest long stands for no version.
        long version = reader.integer("version", Long.MIN_VALUE + 1);
        Map<ServiceName, ServiceRule> services = new HashMap<>();
        for (JsonNode node : reader.array("services")) {
            readService(reader.nested(node, "services"), node)
                    .ifPresent(service -> services.put(service.name(), service));
        }
        List<RouteRule> routes = new ArrayList<>();
        Set<String> hostsAndPrefixes = new HashSet<>();
        for (JsonNode node : reader.array("routes")) {
            readRoute(reader.nested(node, "routes"), node, services.keySet()).ifPresent(route -> {
                routes.add(route);
                if (!hostsAndPrefixes.add(route.host() + " " + route.pathPrefix())) {
                    reader.addProblem("routes", "must not share host and path_prefix " + route.pathPrefix());
                }
            });
        }
        List<AccountRule> accounts = new ArrayList<>();
        Set<String> keys = new HashSet<>();
        for (JsonNode node : reader.array("tenants")) {
            readAccount(reader.nested(node, "tenants"), node).ifPresent(account -> {
                accounts.add(account);
                if (!account.keys().stream().allMatch(keys::add)) {
                    reader.addProblem("tenants", "must not share a key");
                }
            });
        }
        CallerBounds bounds = readBounds(reader, root.path("limits"));
        return reader.result(
                new ServiceDocument(version, routes, services, bounds, accounts), ErrorKind.DOCUMENT_INVALID);
    }

    private static CallerBounds readBounds(FieldReader reader, JsonNode node) {
        CallerBounds defaults = CallerBounds.defaults();
        if (node.isMissingNode() || node.isNull()) {
            return defaults;
        }
        FieldReader limits = reader.nested(node, "limits");
        return new CallerBounds(
                bytes(limits, "max_header_bytes", defaults.maximumHeaderBytes()),
                bytes(limits, "max_body_bytes", defaults.maximumBodyBytes()),
                limits.integer("header_timeout_ms", 1, defaults.headerTimeoutMillis()),
                limits.integer("idle_timeout_ms", 1, defaults.idleTimeoutMillis()));
    }

    /** Returns a size limit. Values beyond the largest int are reduced to it, since no message reaches either. */
    private static int bytes(FieldReader limits, String name, int defaultValue) {
        return (int) Math.min(Integer.MAX_VALUE, limits.integer(name, 1, defaultValue));
    }

    private static Optional<ServiceRule> readService(FieldReader reader, JsonNode node) {
        String name = reader.string("name");
        long connections = reader.integer("max_connections", 0, 0);
        Optional<ServiceRule.Engine> engine = Optional.empty();
        if (node.path("engine").isObject()) {
            FieldReader fields = reader.nested(node.path("engine"), "engine");
            engine = Optional.of(
                    new ServiceRule.Engine(fields.integer("slots", 1, 1), fields.integer("kv_capacity_tokens", 0, 0)));
        }
        Optional<ServiceRule.Scaling> scaling = Optional.empty();
        if (node.path("scaling").isObject()) {
            scaling = Optional.of(readScaling(reader.nested(node.path("scaling"), "scaling"), node.path("scaling")));
        }
        return reader.isValid()
                ? Optional.of(new ServiceRule(ServiceName.of(name), connections, engine, scaling))
                : Optional.empty();
    }

    private static ServiceRule.Scaling readScaling(FieldReader fields, JsonNode node) {
        Map<AvailabilityZone, Double> prices = readZonePrices(fields, node.path("zone_prices"));
        return new ServiceRule.Scaling(
                fields.optionalInteger("min", ServiceRule.Scaling.MAXIMUM_SERVERS / Math.max(1, prices.size())),
                fields.integer("max", 0, 0),
                // A cast of a double keeps to the bounds of a long.
                (long) (fields.number("boot_s", 0) * 1_000),
                fields.number("spot_price", 1),
                prices);
    }

    private static Map<AvailabilityZone, Double> readZonePrices(FieldReader scaling, JsonNode node) {
        Map<AvailabilityZone, Double> prices = new HashMap<>();
        if (!node.isMissingNode() && !node.isNull()) {
            FieldReader zones = scaling.nested(node, "zone_prices");
            node.properties()
                    .forEach(entry -> prices.put(AvailabilityZone.of(entry.getKey()), zones.number(entry.getKey(), 0)));
        }
        return prices;
    }

    private static Optional<RouteRule> readRoute(FieldReader reader, JsonNode node, Set<ServiceName> services) {
        String name = reader.string("name");
        String host = reader.string("host");
        String prefix = reader.string("path_prefix");
        long timeout = reader.integer("timeout_ms", 1);
        Optional<Repeatability> repeatability = readRepeatability(reader.string("type"));
        if (repeatability.isEmpty()) {
            reader.addProblem("type", "must be safe, unsafe or streaming");
        }
        List<RouteRule.Share> split = readTrafficSplit(reader, node);
        for (RouteRule.Share share : split) {
            if (!services.contains(share.service())) {
                reader.addProblem("service", "must name services of this config, which " + share.service() + " is not");
            }
        }
        checkWeights(reader, split);
        RouteRule route = new RouteRule(
                RouteName.of(name.isEmpty() ? "unnamed" : name),
                host,
                prefix,
                repeatability.orElse(Repeatability.ONCE),
                timeout,
                reader.integer("target_latency_ms", 0, DEFAULT_TARGET_LATENCY_MILLIS),
                reader.integer("priority", 0, 0),
                split,
                reader.integer("max_attempts", 1, 1),
                reader.bool("public"),
                reader.bool("stream_resume"),
                reader.integer("itl_target_ms", 0, 0));
        return reader.isValid() ? Optional.of(route) : Optional.empty();
    }

    private static void checkWeights(FieldReader reader, List<RouteRule.Share> split) {
        BigInteger sum = split.stream()
                .map(share -> BigInteger.valueOf(share.weight()))
                .reduce(BigInteger.ZERO, BigInteger::add);
        if (sum.signum() <= 0) {
            reader.addProblem("traffic_split", "must have weights with a positive sum");
        } else if (sum.compareTo(BigInteger.valueOf(Long.MAX_VALUE)) > 0) {
            reader.addProblem(
                    "traffic_split", "must have weights with a sum of at most " + Long.MAX_VALUE + ", not " + sum);
        }
    }

    private static Optional<Repeatability> readRepeatability(String routeType) {
        return switch (routeType) {
            case "safe" -> Optional.of(Repeatability.SAFE);
            case "unsafe" -> Optional.of(Repeatability.ONCE);
            case "streaming" -> Optional.of(Repeatability.STREAM);
            default -> Optional.empty();
        };
    }

    /** Reads the services of a route: a list with weights, or else a single one. */
    private static List<RouteRule.Share> readTrafficSplit(FieldReader reader, JsonNode node) {
        List<RouteRule.Share> split = new ArrayList<>();
        for (JsonNode entry : reader.array("traffic_split")) {
            FieldReader fields = reader.nested(entry, "traffic_split");
            String service = fields.string("service");
            long weight = fields.integer("weight", 0);
            if (!service.isEmpty()) {
                split.add(new RouteRule.Share(ServiceName.of(service), weight));
            }
        }
        if (split.isEmpty()) {
            String service = reader.string("service");
            if (!service.isEmpty()) {
                split.add(new RouteRule.Share(ServiceName.of(service), 1));
            }
        }
        return split;
    }

    private static Optional<AccountRule> readAccount(FieldReader reader, JsonNode node) {
        String name = reader.string("name");
        Set<String> keys = new HashSet<>();
        for (JsonNode key : reader.array("api_keys")) {
            keys.add(key.asText());
        }
        double rate = reader.number("rate_per_s", 0);
        AccountRule account = new AccountRule(
                AccountName.of(name.isEmpty() ? "unnamed" : name),
                keys,
                reader.optionalInteger("priority"),
                node.path("unit").asText().equals(TOKEN_UNIT),
                reader.integer("uncached_tokens", 0, 0),
                rate,
                reader.number("burst", rate));
        return reader.isValid() ? Optional.of(account) : Optional.empty();
    }
}
