package org.plantainwharf.room;

import java.util.Map;

import org.plantainwharf.identity.AccountName;

/**
 * What one daemon was asked for lately at a service, in prompt tokens that servers have to process, or in requests where
 * a service has no prompts. Immutable.
 *
 * @param capacityPerSecond what all servers of the service can process, as this daemon estimates it
 * @param priorities by priority; 0 is the most urgent
 * @param askedPerSecond by account
 */
public record RoomDemand(
        double capacityPerSecond, Map<Integer, PriorityDemand> priorities, Map<AccountName, Double> askedPerSecond) {
    /** Copies the maps. */
    public RoomDemand {
        priorities = Map.copyOf(priorities);
        askedPerSecond = Map.copyOf(askedPerSecond);
    }

    /**
     * Demand of one priority.
     *
     * @param returningPerSecond part of what is asked for that is due from callers that were told to return
     */
    public record PriorityDemand(double askedPerSecond, double admittedPerSecond, double returningPerSecond) {}
}
