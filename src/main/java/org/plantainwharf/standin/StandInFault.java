package org.plantainwharf.standin;

import com.fasterxml.jackson.databind.JsonNode;

/** A fault that a stand-in simulates until another one replaces it. Immutable. */
sealed interface StandInFault {
    /** Simulates no fault. */
    record None() implements StandInFault {}

    /** Multiplies processing times by a factor. */
    record Slow(double factor) implements StandInFault {}

    /** Halts the process on a request whose body contains the marker. */
    record Crash(String marker) implements StandInFault {}

    /** Refuses every call before executing it. */
    record Refuse() implements StandInFault {}

    /** Delays responses by a fixed time. */
    record Late(long millis) implements StandInFault {}

    /** Sends the identity of another request in responses. */
    record Crossed() implements StandInFault {}

    /** Ends responses before they are complete. */
    record Truncated() implements StandInFault {}

    /**
     * Sends no responses on connections that were open when the fault was set; new connections work.
     *
     * @param claimsRunning whether load reports continue to list the silenced requests as running
     */
    record Silent(boolean claimsRunning) implements StandInFault {}

    /** Executes calls but closes the connection in place of sending the response. */
    record LoseAnswer() implements StandInFault {}

    /**
     * Parses a fault such as {@code {"kind":"slow","factor":10}}.
     *
     * @throws IllegalArgumentException if the kind is unknown
     */
    static StandInFault parse(JsonNode body) {
        String kind = body.path("kind").asText();
        return switch (kind) {
            case "none" -> new None();
            case "slow" -> new Slow(body.path("factor").asDouble(10));
            case "crash" -> new Crash(body.path("marker").asText("CRASH"));
            case "refuse" -> new Refuse();
            case "late" -> new Late(body.path("millis").asLong(1_000));
            case "crossed" -> new Crossed();
            case "truncated" -> new Truncated();
            case "silent" -> new Silent(body.path("claims_running").asBoolean(false));
            case "lose-answer" -> new LoseAnswer();
            default -> throw new IllegalArgumentException("unknown fault " + kind);
        };
    }
}
