package org.plantainwharf.room;

import java.util.Map;

/**
 * How the room of a service is shared over all daemons. Immutable.
 *
 * @param pressure what is asked for over what the servers can process; above 1 room is short
 * @param admittedFractions fraction of the requests to admit, by priority; 0 is the most urgent
 * @param accountPerSecond what one account may use at all daemons together while room is short
 */
public record RoomShare(double pressure, Map<Integer, Double> admittedFractions, double accountPerSecond) {
    /** Copies the map. */
    public RoomShare {
        admittedFractions = Map.copyOf(admittedFractions);
    }
}
