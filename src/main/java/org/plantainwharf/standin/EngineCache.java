package org.plantainwharf.standin;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The prefix cache of a stand-in engine, with least-recently-used eviction. To simulate a lossy event source, events are
 * published after a configurable delay and every n-th event can be dropped. Thread-safe.
 */
final class EngineCache {
    private static final int MAXIMUM_RETAINED_EVENTS = 1_024;

    private final int capacity;
    private final long publicationDelayMillis;
    private final int droppedEventInterval;
    private final LongSupplier millis;
    private final LinkedHashSet<Long> blocks = new LinkedHashSet<>();
    private final List<CacheEvent> retainedEvents = new ArrayList<>();
    private long sequence;

    private record CacheEvent(long sequence, long createdMillis, List<Long> stored, List<Long> evicted) {}

    private EngineCache(int capacity, long publicationDelayMillis, int droppedEventInterval, LongSupplier millis) {
        this.capacity = capacity;
        this.publicationDelayMillis = publicationDelayMillis;
        this.droppedEventInterval = droppedEventInterval;
        this.millis = millis;
    }

    /**
     * Returns an empty cache.
     *
     * @param capacity maximum number of blocks
     * @param publicationDelayMillis age at which an event is published
     * @param droppedEventInterval an event whose sequence number is a multiple of this is dropped; 0 drops none
     */
    static EngineCache create(
            int capacity, long publicationDelayMillis, int droppedEventInterval, LongSupplier millis) {
        return new EngineCache(capacity, publicationDelayMillis, droppedEventInterval, millis);
    }

    /** Returns the number of leading blocks of a prompt that are cached. */
    synchronized int cachedPrefixLength(List<Long> prompt) {
        int length = 0;
        while (length < prompt.size() && blocks.contains(prompt.get(length))) {
            length++;
        }
        return length;
    }

    /** Stores the blocks of a prompt, evicts blocks beyond the capacity and records an event if the content changed. */
    synchronized void store(List<Long> prompt) {
        List<Long> stored = new ArrayList<>();
        for (Long block : prompt) {
            if (!blocks.remove(block)) {
                stored.add(block);
            }
            blocks.add(block);
        }
        List<Long> evicted = new ArrayList<>();
        while (blocks.size() > capacity) {
            Long oldest = blocks.iterator().next();
            blocks.remove(oldest);
            evicted.add(oldest);
        }
        if (stored.isEmpty() && evicted.isEmpty()) {
            return;
        }
        sequence++;
        if (droppedEventInterval == 0 || sequence % droppedEventInterval != 0) {
            retainedEvents.add(new CacheEvent(sequence, millis.getAsLong(), stored, evicted));
        }
        if (retainedEvents.size() > MAXIMUM_RETAINED_EVENTS) {
            retainedEvents.remove(0);
        }
    }

    /**
     * Returns the published changes after a sequence number, merged into one, or for 0 the whole content without delay.
     */
    synchronized ObjectNode events(long after, long incarnation) {
        ObjectNode answer = StandInExchange.newObject().put("incarnation", incarnation);
        if (after == 0) {
            answer.put("first", sequence).put("last", sequence).put("whole", true);
            put(answer, "stored", blocks);
            put(answer, "evicted", Set.of());
            return answer;
        }
        Set<Long> stored = new LinkedHashSet<>();
        Set<Long> evicted = new LinkedHashSet<>();
        long first = after + 1;
        long last = after;
        long publishedUntil = millis.getAsLong() - publicationDelayMillis;
        for (CacheEvent change : retainedEvents) {
            if (change.sequence() > after && change.createdMillis() <= publishedUntil) {
                first = last == after ? change.sequence() : first;
                last = change.sequence();
                change.stored().forEach(evicted::remove);
                stored.addAll(change.stored());
                change.evicted().forEach(stored::remove);
                evicted.addAll(change.evicted());
            }
        }
        answer.put("first", first).put("last", last).put("whole", false);
        put(answer, "stored", stored);
        put(answer, "evicted", evicted);
        return answer;
    }

    private static void put(ObjectNode answer, String name, Iterable<Long> values) {
        var array = answer.putArray(name);
        values.forEach(array::add);
    }
}
