package org.plantainwharf.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.plantainwharf.identity.ServerId;

/**
 * Servers that are assumed to cache each prompt block. A wrong hint costs time but never changes an answer. The number
 * of blocks is bounded; the least recently used block is dropped first. Owned by the control thread.
 */
final class PrefixHints {
    /** About 5 MB of the 64 MB that a daemon has for control state at full size. */
    private static final int MAXIMUM_BLOCKS = 32_768;

    /** Servers stored for one block; more would not improve a choice among a few candidates. */
    private static final int MAXIMUM_SERVERS = 8;

    private final Map<Long, List<ServerId>> serversByBlock = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, List<ServerId>> eldest) {
            return size() > MAXIMUM_BLOCKS;
        }
    };

    private PrefixHints() {}

    static PrefixHints create() {
        return new PrefixHints();
    }

    void recordStored(ServerId server, List<Long> blocks) {
        for (Long block : blocks) {
            List<ServerId> servers = serversByBlock.computeIfAbsent(block, key -> new ArrayList<>(1));
            if (!servers.contains(server)) {
                if (servers.size() == MAXIMUM_SERVERS) {
                    servers.removeFirst();
                }
                servers.add(server);
            }
        }
    }

    void recordEvicted(ServerId server, List<Long> blocks) {
        for (Long block : blocks) {
            List<ServerId> servers = serversByBlock.get(block);
            if (servers != null && servers.remove(server) && servers.isEmpty()) {
                serversByBlock.remove(block);
            }
        }
    }

    void removeServer(ServerId server) {
        serversByBlock.values().removeIf(servers -> servers.remove(server) && servers.isEmpty());
    }

    /**
     * Returns the number of cached blocks for each server that caches a prefix of the prompt. Each hash covers all
     * preceding blocks, so the last matching block of a server determines the length of its prefix.
     */
    Map<ServerId, Integer> cachedBlocks(List<Long> blocks) {
        Map<ServerId, Integer> cached = new LinkedHashMap<>();
        for (int index = blocks.size() - 1; index >= 0; index--) {
            for (ServerId server : serversByBlock.getOrDefault(blocks.get(index), List.of())) {
                cached.putIfAbsent(server, index + 1);
            }
        }
        return cached;
    }

    int size() {
        return serversByBlock.size();
    }
}
