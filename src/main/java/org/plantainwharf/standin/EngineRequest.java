package org.plantainwharf.standin;

import java.util.List;

/** One request at a stand-in engine. Owned by the engine's thread. */
final class EngineRun {
    private final StandInExchange exchange;
    private final int priority;
    private final long order;
    private final Task task;
    private final boolean crossed;
    private int generated;
    private boolean ended;

    /**
     * What is to be generated. Immutable.
     *
     * @param blocks hashes of the prompt's blocks
     * @param resumeFrom tokens that the caller already has
     */
    record Task(String model, int promptTokens, List<Long> blocks, int maximumTokens, int resumeFrom) {}

    private EngineRun(StandInExchange exchange, long order, Task task, boolean crossed) {
        this.exchange = exchange;
        this.priority = parse(exchange.header("X-Priority"));
        this.order = order;
        this.task = task;
        this.generated = task.resumeFrom();
        this.crossed = crossed;
    }

    static EngineRun create(StandInExchange exchange, long order, Task task, boolean crossed) {
        return new EngineRun(exchange, order, task, crossed);
    }

    /** Returns the number in a header, 0 if there is none. */
    static int parse(String number) {
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

    long order() {
        return order;
    }

    String request() {
        return exchange.header("X-Request-Id");
    }

    String attempt() {
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

    boolean crossed() {
        return crossed;
    }

    boolean ended() {
        return ended;
    }

    void end() {
        ended = true;
    }

    /** Returns the next token, which depends on its place only, so that a resumed answer can be compared. */
    String nextToken() {
        return "t" + generated++ + " ";
    }
}
