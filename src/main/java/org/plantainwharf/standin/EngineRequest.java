package org.plantainwharf.standin;

import java.util.List;

/** One request at a stand-in engine. Owned by the engine's thread. */
final class EngineRequest {
    private final StandInExchange exchange;
    private final int priority;
    private final long arrivalNumber;
    private final Task task;
    private final boolean wrongIdentity;
    private int generated;
    private boolean ended;

    /**
     * What is to be generated. Immutable.
     *
     * @param blocks hashes of the prompt's blocks
     * @param resumeFrom tokens that the caller already has
     */
    record Task(String model, int promptTokens, List<Long> blocks, int maximumTokens, int resumeFrom) {}

    private EngineRequest(StandInExchange exchange, long arrivalNumber, Task task, boolean wrongIdentity) {
        this.exchange = exchange;
        this.priority = parseNumber(exchange.header("X-Priority"));
        this.arrivalNumber = arrivalNumber;
        this.task = task;
        this.generated = task.resumeFrom();
        this.wrongIdentity = wrongIdentity;
    }

    static EngineRequest create(StandInExchange exchange, long arrivalNumber, Task task, boolean wrongIdentity) {
        return new EngineRequest(exchange, arrivalNumber, task, wrongIdentity);
    }

    /** Returns the number in a header, 0 if there is none. */
    static int parseNumber(String number) {
        return number.matches("-?\\d{1,9}") ? Integer.parseInt(number) : 0;
    }

    StandInExchange exchange() {
        return exchange;
    }

    String model() {
        return task.model();
    }

    int priority() {
        return priority;
    }

    long arrivalNumber() {
        return arrivalNumber;
    }

    String requestId() {
        return exchange.header("X-Request-Id");
    }

    String attemptNumber() {
        return exchange.header("X-Attempt");
    }

    int promptTokens() {
        return task.promptTokens();
    }

    List<Long> blocks() {
        return task.blocks();
    }

    int maximumTokens() {
        return task.maximumTokens();
    }

    int generated() {
        return generated;
    }

    boolean wrongIdentity() {
        return wrongIdentity;
    }

    boolean ended() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }

    /** Returns the next token, which depends on its place only, so that a resumed answer can be compared. */
    String nextToken() {
        return "t" + generated++ + " ";
    }
}
