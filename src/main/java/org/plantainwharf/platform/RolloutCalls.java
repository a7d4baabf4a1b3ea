package org.plantainwharf.platform;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.plantainwharf.rollout.Rollout;
import org.plantainwharf.rollout.RolloutPhase;

/**
 * Paths and bodies of operators' calls on rollouts, for the daemon that answers them and for the command line. Stateless.
 */
public final class RolloutCalls {
    /** Path to which an order is posted. */
    public static final String BEGIN_PATH = WireNames.BEGIN_ROLLOUT_PATH;

    private static final ObjectMapper JSON = new ObjectMapper();

    private RolloutCalls() {}

    /** Returns the body of an order. */
    public static byte[] order(String service, String target, double durationSeconds) {
        ObjectNode body = JSON.createObjectNode().put("service", service).put("target", target);
        body.put("duration_s", durationSeconds);
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the path at which the newest rollout of a service is read. */
    public static String readPath(String service) {
        return WireNames.READ_ROLLOUT_PREFIX + PathSegments.encode(service);
    }

    /** Returns how a rollout that was read stands, in words for an operator. */
    public static String describe(String service, JsonNode answer) {
        String target = answer.path("target").asText();
        return switch (answer.path("state").asText()) {
            case "in_progress" -> service + ": rollout of version " + target + " is in progress";
            case "completed" -> service + ": rollout of version " + target + " is completed";
            case "rolled_back" -> service + ": rollout of version " + target + " was rolled back";
            default -> service + ": unexpected answer " + answer;
        };
    }

    /** Returns the answer to an order. It is the same for each resend, however far the rollout has come. */
    static byte[] acknowledgement(Rollout rollout) {
        return JSON.createObjectNode()
                .put("service", rollout.service().value())
                .put("target", rollout.target().value())
                .put("number", rollout.number())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the answer to a read. */
    static byte[] state(Rollout rollout) {
        return JSON.createObjectNode()
                .put("state", stateName(rollout.phase()))
                .put("target", rollout.target().value())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    private static String stateName(RolloutPhase phase) {
        return switch (phase) {
            case RolloutPhase.Observing observing -> "in_progress";
            case RolloutPhase.Growing growing -> "in_progress";
            case RolloutPhase.Retiring retiring -> "in_progress";
            case RolloutPhase.Completed completed -> "completed";
            case RolloutPhase.RolledBack rolledBack -> "rolled_back";
        };
    }
}
