package org.plantainwharf.keptpart;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.observation.ServerStart;

/**
 * Section of the board, the state owned by the control thread, on which starts of servers keep which parts of prompts, with the
 * time of the last known use. Invariants: an earlier use never replaces a later one; a server has at most
 * {@link #MAXIMUM_PARTS} parts, the least recently used go first. Owned by the control thread; written by the kept part
 * controller.
 */
public final class KeptPartSection {
    /** Parts of one server. Its memory holds some tens of the longest prompts and a few thousand short parts. */
    static final int MAXIMUM_PARTS = 1_024;

    /** Servers remembered as keepers of one part, the latest ones. */
    private static final int MAXIMUM_KEEPERS = 8;

    private static final LinkedHashMap<Long, Long> NO_PARTS = new LinkedHashMap<>();

    private final Map<ServerStart, LinkedHashMap<Long, Long>> lastUseNanos = new HashMap<>();

    /** The servers that used a part last, in the order of use. */
    private final Map<Long, LinkedHashSet<ServerStart>> keepers = new HashMap<>();

    private KeptPartSection() {}

    /** Returns an empty section. */
    public static KeptPartSection create() {
        return new KeptPartSection();
    }

    /**
     * Returns the likelihood that a server keeps a part by itself; a part is of use only if all parts before it are kept too.
     */
    public double likelihood(ServerStart server, long part, Retention retention, long nowNanos) {
        @Nullable Map<Long, Long> parts = lastUseNanos.get(server);
        @Nullable Long used = parts == null ? null : parts.get(part);
        return used == null ? 0 : retention.likelihood((nowNanos - used) / 1e6);
    }

    /**
     * Records that a server has used a part. Returns by how much this use is later than the last known one, in nanoseconds:
     * {@link Long#MAX_VALUE} if none is known, 0 or less if this one is not later. For the kept part controller.
     */
    public long recordUse(ServerStart server, long part, long usedNanos) {
        LinkedHashMap<Long, Long> parts = lastUseNanos.computeIfAbsent(server, key -> new LinkedHashMap<>());
        @Nullable Long known = parts.get(part);
        if (known != null && usedNanos - known <= 0) {
            return usedNanos - known;
        }
        addKeeper(server, part);
        parts.remove(part);
        parts.put(part, usedNanos);
        if (parts.size() > MAXIMUM_PARTS) {
            parts.remove(parts.keySet().iterator().next());
        }
        return known == null ? Long.MAX_VALUE : usedNanos - known;
    }

    private void addKeeper(ServerStart server, long part) {
        LinkedHashSet<ServerStart> servers = keepers.computeIfAbsent(part, key -> new LinkedHashSet<>());
        servers.remove(server);
        servers.add(server);
        if (servers.size() > MAXIMUM_KEEPERS) {
            servers.remove(servers.iterator().next());
        }
    }

    /** Returns the servers that used a part last; those of the last minutes. */
    public Set<ServerStart> keepers(long part) {
        @Nullable Set<ServerStart> servers = keepers.get(part);
        return servers == null ? Set.of() : servers;
    }

    /** Forgets parts that were not used for a time, and servers without parts. */
    void removeUnusedSince(Predicate<Long> unused) {
        lastUseNanos.values().forEach(parts -> parts.values().removeIf(unused));
        lastUseNanos.values().removeIf(Map::isEmpty);
        keepers.forEach((part, servers) -> servers.removeIf(
                server -> !lastUseNanos.getOrDefault(server, NO_PARTS).containsKey(part)));
        keepers.values().removeIf(Set::isEmpty);
    }

    /** Returns the number of starts of servers that keep parts. */
    public int size() {
        return lastUseNanos.size();
    }
}
