package org.plantainwharf.room;

import java.util.Map;

import org.plantainwharf.identity.AccountName;

/**
 * What one daemon was asked for lately at a service, in milliseconds of work of one server, per second. Immutable.
 *
 * @param priorities by priority; 0 is the most urgent
 */
public record RoomDemand(Map<Integer, PriorityDemand> priorities) {
    /** Copies the map. */
    public RoomDemand {
        priorities = Map.copyOf(priorities);
    }

    /** Returns what is asked for at all priorities together. */
    public double askedPerSecond() {
        return priorities.values().stream()
                .mapToDouble(PriorityDemand::askedPerSecond)
                .sum();
    }

    /**
     * Demand of one priority. Requests that return after a refusal are not counted again.
     *
     * @param askedPerSecond demand of all accounts, including those that are not listed
     * @param capacityPerSecond work of this priority and those more urgent that all servers do together, as this daemon
     *     estimates it
     * @param accounts demand of the accounts that asked for most
     */
    public record PriorityDemand(double askedPerSecond, double capacityPerSecond, Map<AccountName, Double> accounts) {
        /** Copies the map. */
        public PriorityDemand {
            accounts = Map.copyOf(accounts);
        }
    }
}
