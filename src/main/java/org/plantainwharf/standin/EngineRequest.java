package org.plantainwharf.standin;

import java.util.List;

/** A generation request at a stand-in engine. Mutable; confined to the thread of the {@link EngineScheduler}. */
final class EngineRequest {
    private final StandInExchange exchange;
    private final int priority;
    private final long arrivalNumber;
    private final Task task;
    private final boolean wrongIdentity;
    private int generated;
    private boolean ended;

    /**
     * Parameters of the generation. Immutable.
     *
     * @param promptTokens length of the prompt in tokens
     * @param blocks hashes of the prompt's blocks
     * @param maximumTokens position of the end of the answer, including the tokens that the caller already has
     * @param resumeFrom number of tokens that the caller already has
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

    /** Parses an integer of at most 9 digits; returns 0 if the text is not such a number. */
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

    /** Generates the next token. It depends only on its position, so that tests can verify resumed answers. */
    String nextToken() {
        return "t" + generated++ + " ";
    }
}
