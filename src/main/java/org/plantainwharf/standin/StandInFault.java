package org.plantainwharf.standin;

import com.fasterxml.jackson.databind.JsonNode;

/** A fault that a stand-in shows until another one replaces it. Immutable. */
sealed interface StandInFault {
    /** Behaves well. */
    record None() implements StandInFault {}

    /** Runs this many times slower. */
    record Slow(double factor) implements StandInFault {}

    /** Halts the process when a body contains the marker. */
    record Crash(String marker) implements StandInFault {}

    /** Refuses every call before running it. */
    record Refuse() implements StandInFault {}

    /** Holds answers back. */
    record Late(long millis) implements StandInFault {}

    /** Puts the identity of another request on answers. */
    record Crossed() implements StandInFault {}

    /** Ends answers early. */
    record Truncated() implements StandInFault {}

    /**
     * Answers nothing on connections that were open when the fault began, while new ones work.
     *
     * @param claimsRunning whether load answers go on to report the silenced requests as running
     */
    record Silent(boolean claimsRunning) implements StandInFault {}

    /** Runs calls and closes the connection instead of answering. */
    record LoseAnswer() implements StandInFault {}

    /**
     * Reads a fault such as {@code {"kind":"slow","factor":10}}.
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
