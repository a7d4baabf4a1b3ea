package org.plantainwharf.cli;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/** Formats a daemon's status as human-readable text. Stateless; thread-safe. */
final class StatusFormatter {
    private static final String REFUSAL_PREFIX = "errors.";
    private static final String RETRY_PREFIX = "retries.";
    private static final String RECOMPUTED_TOKENS_PREFIX = "tokens.recomputed.";

    private StatusFormatter() {}

    /** Formats a status given as JSON. */
    static String format(JsonNode status) {
        return summary(status)
                + daemons(status)
                + zones(status)
                + servers(status)
                + replicatedLogs(status)
                + counters(status, "Refusals by reason", REFUSAL_PREFIX)
                + counters(status, "Retries by reason", RETRY_PREFIX)
                + counters(status, "Recomputed tokens by reason", RECOMPUTED_TOKENS_PREFIX);
    }

    private static String summary(JsonNode status) {
        long version = status.path("configurationVersion").asLong();
        String digest = status.path("configurationDigest").asText();
        String configuration =
                version == 0 ? "no configuration in force" : "configuration version " + version + ", digest " + digest;
        String age = status.path("behind").asBoolean()
                ? "; behind: this host has not heard from the majority recently, so a newer version may exist"
                : "";
        return "Host " + status.path("host").asText() + " in zone "
                + status.path("zone").asText() + " is "
                + status.path("phase").asText() + " with "
                + status.path("liveCalls").asLong() + " live calls; " + configuration + age + "\n";
    }

    private static String daemons(JsonNode status) {
        long newest = 0;
        for (JsonNode host : status.path("hosts")) {
            newest = Math.max(newest, host.path("configurationVersion").asLong());
        }
        TextTable table = TextTable.withHeader("host", "zone", "state", "configuration in force", "last heard");
        for (JsonNode host : status.path("hosts")) {
            table.add(
                    host.path("host").asText(),
                    host.path("zone").asText(),
                    daemonState(host),
                    formatVersion(host.path("configurationVersion").asLong(), newest),
                    lastHeard(host, status.path("host").asText()));
        }
        return "\nDaemons: " + status.path("hosts").size() + "\n" + table.format();
    }

    private static String daemonState(JsonNode host) {
        if (!host.path("linked").asBoolean()) {
            return "not linked";
        }
        return host.path("draining").asBoolean() ? "draining" : "serving";
    }

    private static String formatVersion(long version, long newest) {
        if (version == 0) {
            return "none";
        }
        return version < newest ? version + " (older than " + newest + ")" : String.valueOf(version);
    }

    private static String lastHeard(JsonNode host, String self) {
        if (host.path("host").asText().equals(self)) {
            return "this host";
        }
        long millis = host.path("silentMillis").asLong();
        return millis < 0 ? "never" : millis + " ms ago";
    }

    private static String zones(JsonNode status) {
        Map<String, int[]> zones = new TreeMap<>();
        for (JsonNode host : status.path("hosts")) {
            int[] counts = zones.computeIfAbsent(host.path("zone").asText(), zone -> new int[4]);
            counts[0]++;
            counts[1] += host.path("linked").asBoolean() ? 1 : 0;
        }
        for (JsonNode server : status.path("servers")) {
            int[] counts = zones.computeIfAbsent(server.path("zone").asText(), zone -> new int[4]);
            counts[2]++;
            counts[3] += server.path("condition").asText().equals("available") ? 1 : 0;
        }
        TextTable table = TextTable.withHeader("zone", "daemons", "linked", "servers", "available");
        zones.forEach((zone, counts) -> table.add(
                zone,
                String.valueOf(counts[0]),
                String.valueOf(counts[1]),
                String.valueOf(counts[2]),
                String.valueOf(counts[3])));
        return "\nAvailability zones: " + zones.size() + "\n" + table.format();
    }

    private static String servers(JsonNode status) {
        JsonNode servers = status.path("servers");
        if (servers.isEmpty()) {
            return "\nBackend servers: none is known\n";
        }
        TextTable table = TextTable.withHeader(
                "server", "zone", "host class", "condition", "slots", "running", "queued", "from this host");
        for (JsonNode server : servers) {
            table.add(
                    server.path("server").asText(),
                    server.path("zone").asText(),
                    server.path("hostClass").asText(),
                    server.path("condition").asText(),
                    server.path("slots").asText(),
                    server.path("running").asText(),
                    server.path("queued").asText(),
                    server.path("inFlight").asText());
        }
        return "\nBackend servers: " + servers.size() + "\n" + table.format();
    }

    private static String replicatedLogs(JsonNode status) {
        JsonNode groups = status.path("groups");
        if (groups.isEmpty()) {
            return "";
        }
        TextTable table = TextTable.withHeader("group", "leader", "term", "committed", "applied", "this host");
        for (JsonNode group : groups) {
            String leader = group.path("leader").asText();
            table.add(
                    group.path("group").asText(),
                    leader.isEmpty() ? "unknown" : leader,
                    group.path("term").asText(),
                    group.path("commitIndex").asText(),
                    group.path("appliedIndex").asText(),
                    group.path("voting").asBoolean() ? "votes" : "learns");
        }
        return "\nReplicated logs: " + groups.size() + "\n" + table.format();
    }

    private static String counters(JsonNode status, String title, String prefix) {
        Map<String, Long> counts = new TreeMap<>();
        status.path("counters").fields().forEachRemaining(counter -> {
            if (counter.getKey().startsWith(prefix) && counter.getValue().asLong() != 0) {
                counts.put(
                        counter.getKey().substring(prefix.length()),
                        counter.getValue().asLong());
            }
        });
        if (counts.isEmpty()) {
            return "\n" + title + ": none\n";
        }
        TextTable table = TextTable.withHeader("reason", "count");
        counts.forEach((reason, count) -> table.add(reason, String.valueOf(count)));
        return "\n" + title + "\n" + table.format();
    }
}
