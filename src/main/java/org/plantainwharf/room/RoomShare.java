package org.plantainwharf.room;

import java.util.Map;

import org.plantainwharf.identity.AccountName;

/**
 * How the room of a service is shared. Immutable.
 *
 * @param pressure what is asked for over what the servers can process; above 1 room is short
 * @param priorities by priority; 0 is the most urgent
 */
public record RoomShare(double pressure, Map<Integer, PriorityShare> priorities) {
    /** Copies the map. */
    public RoomShare {
        priorities = Map.copyOf(priorities);
    }

    /** Returns a share that admits everything. */
    public static RoomShare everything() {
        return new RoomShare(0, Map.of());
    }

    /** Returns the fraction of an account's requests of a priority that is admitted. */
    public double admittedFraction(int priority, AccountName account) {
        PriorityShare share = priorities.get(priority);
        return share == null ? 1 : share.accounts().getOrDefault(account, share.restFraction());
    }

    /**
     * Share of one priority.
     *
     * @param admittedFraction of the work of all accounts together
     * @param restFraction of the work of an account that is not listed
     * @param accounts fraction by account, for accounts that ask for more than their part
     */
    public record PriorityShare(double admittedFraction, double restFraction, Map<AccountName, Double> accounts) {
        /** Copies the map. */
        public PriorityShare {
            accounts = Map.copyOf(accounts);
        }
    }
}
