package org.plantainwharf.backend;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Generations of pooled connections by server address. Open connections to a server can go silent while new ones work,
 * so after one went silent all pooled ones of that server are left to time out unused. Thread-safe.
 */
final class PoolGenerations {
    private final Map<String, Integer> generations = new ConcurrentHashMap<>();

    private PoolGenerations() {}

    static PoolGenerations create() {
        return new PoolGenerations();
    }

    /** Returns the tag that separates connections that may be used from abandoned ones. */
    String tag(String address) {
        return "generation-" + generations.getOrDefault(address, 0);
    }

    /** Abandons the connections with this tag, unless that was done already. */
    void retire(String address, String tag) {
        generations.compute(address, (key, value) -> {
            int generation = value == null ? 0 : value;
            return tag.equals("generation-" + generation) ? generation + 1 : generation;
        });
    }
}
