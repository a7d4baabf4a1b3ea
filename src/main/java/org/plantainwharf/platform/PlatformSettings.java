package org.plantainwharf.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.rollout.RolloutBounds;

/**
 * The platform's settings of one daemon, as the template renders them to JSON. Unknown fields are ignored, because the
 * platform may add some. Immutable.
 *
 * @param nodeName name of this daemon, sent to the cloud API
 * @param ip IP address of this host
 * @param zone availability zone of this host
 * @param callerAddress where callers connect; absent on a control daemon
 * @param readyAddress where the load balancer checks readiness; absent on a control daemon
 * @param controlAddress where backend servers and operators connect; absent on an entry daemon
 * @param linkPort port for links between daemons, the same on all hosts
 * @param metricsPort port where the daemon serves its metrics
 * @param seeds control addresses of some control daemons, which may be out of date
 * @param bootstrap whether the whole system starts for the first time
 * @param dataFolder folder for files; absent on a host without a disk
 * @param cloudAddress address of the cloud API, if this installation has one
 * @param bounds limits that the platform sets
 * @param sharesRoom whether daemons share the room of services among callers; this project's own field
 */
record PlatformSettings(
        String nodeName,
        String ip,
        String zone,
        Optional<String> callerAddress,
        Optional<String> readyAddress,
        Optional<String> controlAddress,
        int linkPort,
        int metricsPort,
        List<String> seeds,
        boolean bootstrap,
        Optional<String> dataFolder,
        Optional<String> cloudAddress,
        Bounds bounds,
        boolean sharesRoom) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Copies the seeds. */
    PlatformSettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Limits that the platform sets for this system.
     *
     * @param gracePeriodMillis time from SIGTERM to SIGKILL
     * @param retryBudgetRatio retries allowed over all daemons, as a fraction of the requests to a service
     * @param retryBudgetFloor retries over all daemons that are always allowed in a window
     * @param usageWindowMillis length of a usage window
     * @param usageReportDeadlineMillis time after the end of a usage window at which its report is late
     * @param dutyLeaseMillis time within which duty holders must not act in turn
     * @param limitWindowSeconds interval over which account limits are checked
     * @param limitOverrun fraction of a limit by which all daemons together may exceed it in a window
     * @param limitSlack tokens or requests by which they may exceed it in addition
     * @param rollouts bounds of the requests that a version under watch gets
     */
    record Bounds(
            long gracePeriodMillis,
            double retryBudgetRatio,
            double retryBudgetFloor,
            long usageWindowMillis,
            long usageReportDeadlineMillis,
            long dutyLeaseMillis,
            double limitWindowSeconds,
            double limitOverrun,
            double limitSlack,
            RolloutBounds rollouts) {}

    /** Parses rendered settings, or returns every problem in them as one failure. */
    static Either<Failure, PlatformSettings> parse(String text) {
        JsonNode root;
        try {
            root = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(ErrorKind.SETTINGS_INVALID, "not valid JSON: " + e.getOriginalMessage()));
        }
        FieldReader reader = FieldReader.of(root);
        FieldReader listen = reader.nested(root.path("listen"), "listen");
        JsonNode portRange = root.path("internal_port_range");
        List<String> seeds = new ArrayList<>();
        for (JsonNode seed : reader.array("seed_nodes")) {
            reader.checkAddress("seed_nodes", seed.asText());
            seeds.add(seed.asText());
        }
        JsonNode bounds = root.path("bounds");
        if (!portRange.path(0).canConvertToInt() || !portRange.path(1).canConvertToInt()) {
            reader.addProblem("internal_port_range", "must be an array of two ports");
        }
        PlatformSettings settings = new PlatformSettings(
                reader.string("node_name"),
                reader.string("ip"),
                reader.string("zone"),
                listen.optionalAddress("frontend"),
                listen.optionalAddress("ready"),
                listen.optionalAddress("control_plane"),
                portRange.path(0).asInt(),
                portRange.path(1).asInt(),
                seeds,
                root.path("bootstrap").asBoolean(false),
                optionalText(root.path("data_dir")),
                optionalText(root.path("cloud_api").path("address")),
                new Bounds(
                        (long) (bounds.path("grace_s").asDouble(8) * 1_000),
                        bounds.path("retry_budget_ratio").asDouble(0.1),
                        bounds.path("retry_budget_floor").asDouble(10),
                        (long) (bounds.path("report_window_s").asDouble(5) * 1_000),
                        (long) (bounds.path("usage_late_s").asDouble(10) * 1_000),
                        bounds.path("lease_ms").asLong(3_000),
                        bounds.path("quota_window_s").asDouble(8),
                        bounds.path("quota_overrun").asDouble(0),
                        bounds.path("quota_slack").asDouble(0),
                        new RolloutBounds(
                                bounds.path("exposure_share")
                                        .asDouble(RolloutBounds.defaults().exposureShare()),
                                bounds.path("exposure_slack")
                                        .asDouble(RolloutBounds.defaults().exposureSlack()),
                                bounds.path("rollback_ms")
                                        .asLong(RolloutBounds.defaults().rollBackMillis()))),
                root.path("share_room").asBoolean(false));
        if (settings.callerAddress().isEmpty() && settings.controlAddress().isEmpty()) {
            reader.addProblem("listen", "must contain frontend or control_plane");
        }
        if (settings.callerAddress().isPresent() && settings.readyAddress().isEmpty()) {
            reader.addProblem("listen.ready", "must be set if listen.frontend is set");
        }
        return reader.result(settings, ErrorKind.SETTINGS_INVALID);
    }

    private static Optional<String> optionalText(JsonNode node) {
        return node.isTextual() && !node.asText().isEmpty() ? Optional.of(node.asText()) : Optional.empty();
    }
}
