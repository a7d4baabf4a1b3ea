package org.plantainwharf.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Announcements of departures that wait for their commit: the tickets of the exchanges to answer, by proposal. Written by
 * the departure controller. Owned by the control thread.
 */
public final class DepartureSection {
    private final Map<String, List<Long>> ticketsByProposal = new HashMap<>();

    private DepartureSection() {}

    /** Returns a section without announcements. */
    public static DepartureSection create() {
        return new DepartureSection();
    }

    /** Adds a ticket to a proposal. Returns whether the proposal is new. */
    boolean await(String proposalId, long ticket) {
        boolean isNew = !ticketsByProposal.containsKey(proposalId);
        ticketsByProposal
                .computeIfAbsent(proposalId, absent -> new ArrayList<>())
                .add(ticket);
        return isNew;
    }

    /** Removes a proposal and returns its tickets; empty if this daemon has not made it or it is already decided. */
    List<Long> takeTickets(String proposalId) {
        @Nullable List<Long> tickets = ticketsByProposal.remove(proposalId);
        return tickets == null ? List.of() : tickets;
    }
}
