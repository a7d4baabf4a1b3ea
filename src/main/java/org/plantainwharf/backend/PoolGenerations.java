package org.plantainwharf.backend;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Generation numbers of the pooled connections to each server address. Established connections to a server can stop
 * transferring data while new connections work; after one of them timed out, all pooled connections of that server are
 * left unused until their idle timeout closes them. Thread-safe.
 */
final class PoolGenerations {
    private final Map<String, Integer> generations = new ConcurrentHashMap<>();

    private PoolGenerations() {}

    static PoolGenerations create() {
        return new PoolGenerations();
    }

    /** Returns the tag of the current generation; connections with another tag are not reused. */
    String tag(String address) {
        return "generation-" + generations.getOrDefault(address, 0);
    }

    /** Retires the connections with this tag. Has no effect if the tag is not of the current generation. */
    void retire(String address, String tag) {
        generations.compute(address, (key, value) -> {
            int generation = value == null ? 0 : value;
            return tag.equals("generation-" + generation) ? generation + 1 : generation;
        });
    }
}
