package org.plantainwharf.bench;

/** A figure of the result tables, with the measure of the design page that it belongs to. */
enum Measure {
    COST("M1", "cost per 100000 in target", "cost of busy slots for 100,000 answers in target", true),
    RECOMPUTED("M1", "recomputed tokens", "tokens computed a second time", true),
    RETRIES("M1", "retries", "attempts after the first", true),
    URGENT("M2", "in target urgent", "urgent calls in target, %", false),
    NORMAL("M2", "in target normal", "normal calls in target, %", false),
    BATCH("M2", "in target batch", "batch calls in target, %", false),
    FLOOD_URGENT("M3", "in flood urgent", "urgent calls in target during the flood, %", false),
    FLOOD_NORMAL("M3", "in flood normal", "normal calls in target during the flood, %", false),
    FLOOD_BATCH("M3", "in flood batch", "batch calls in target during the flood, %", false),
    WORTH("M3", "worth per second", "worth of answers in target per second of the flood", false),
    LARGE("M4", "account large-1", "calls of the largest account in target, %", false),
    GREEDY("M4", "account small-1", "calls of account small-1 (the greedy one) in target, %", false),
    SMALL("M4", "account small-2", "calls of the smallest account in target, %", false);

    private final String group;
    private final String key;
    private final String title;
    private final boolean lowerIsBetter;

    Measure(String group, String key, String title, boolean lowerIsBetter) {
        this.group = group;
        this.key = key;
        this.title = title;
        this.lowerIsBetter = lowerIsBetter;
    }

    /** Returns the name of the measure on the design page, M1 to M4. */
    String group() {
        return group;
    }

    /** Returns the name of the figure in results and JSON. */
    String key() {
        return key;
    }

    /** Returns the heading of the table. */
    String title() {
        return title;
    }

    boolean lowerIsBetter() {
        return lowerIsBetter;
    }
}
