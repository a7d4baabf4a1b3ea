package org.plantainwharf.daemon;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.plantainwharf.board.StatusView;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.membership.Member;

/** Formats the status of a daemon as JSON. Thread-safe. */
final class StatusReport {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private StatusReport() {}

    /** Returns one JSON object with the status and every counter that is not zero. */
    static String toJson(StatusView view, MetricRegistry metrics) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("host", view.host());
        root.put("zone", view.zone());
        root.put("incarnation", view.incarnation());
        root.put("phase", view.drainPhase().getClass().getSimpleName().toLowerCase(Locale.ROOT));
        root.put("configurationVersion", view.configurationVersion());
        root.put("configurationDigest", view.configurationDigest());
        root.put("behind", view.behind());
        root.put("liveCalls", view.liveCalls());
        writeHosts(root.putArray("hosts"), view);
        writeServers(root.putArray("servers"), view);
        writeGroups(root.putArray("groups"), view);
        ObjectNode counters = root.putObject("counters");
        metrics.getCounters().forEach((name, counter) -> {
            if (counter.getCount() != 0) {
                counters.put(name, counter.getCount());
            }
        });
        return root.toPrettyString();
    }

    private static void writeHosts(ArrayNode hosts, StatusView view) {
        ObjectNode self = hosts.addObject();
        self.put("host", view.host());
        self.put("zone", view.zone());
        self.put("linked", true);
        self.put("draining", !view.drainPhase().equals(new DrainPhase.Serving()));
        self.put("configurationVersion", view.configurationVersion());
        self.put("silentMillis", 0);
        for (Member member : view.members()) {
            ObjectNode node = hosts.addObject();
            node.put("host", member.host().value());
            node.put("zone", member.zone().value());
            node.put("linked", member.linked());
            node.put("draining", member.draining());
            node.put("configurationVersion", member.configurationVersion());
            node.put(
                    "silentMillis",
                    member.incarnation() == 0
                            ? -1
                            : TimeUnit.NANOSECONDS.toMillis(view.takenNanos() - member.lastHeardNanos()));
        }
    }

    private static void writeServers(ArrayNode servers, StatusView view) {
        for (StatusView.ServerStatus server : view.servers()) {
            ObjectNode node = servers.addObject();
            node.put("server", server.server());
            node.put("zone", server.zone());
            node.put("hostClass", server.hostClass());
            node.put("condition", server.condition());
            node.put("slots", server.slots());
            node.put("running", server.running());
            node.put("queued", server.queued());
            node.put("inFlight", server.inFlight());
        }
    }

    private static void writeGroups(ArrayNode groups, StatusView view) {
        for (GroupStatus group : view.groups()) {
            ObjectNode node = groups.addObject();
            node.put("group", group.group());
            node.put("leader", group.leader().map(HostId::value).orElse(""));
            node.put("leading", group.leading());
            node.put("term", group.term());
            node.put("commitIndex", group.commitIndex());
            node.put("appliedIndex", group.appliedIndex());
            node.put("voting", group.voting());
        }
    }
}
