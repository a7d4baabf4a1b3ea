package org.plantainwharf.document;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The service document in force on this daemon. Its version never decreases while the process runs. Written by the
 * document controller. Owned by the control thread.
 */
public final class DocumentSection {
    private final Map<String, Long> ticketsByProposal = new HashMap<>();
    private Optional<RouteTable> table = Optional.empty();
    private OptionalLong firstHeldNanos = OptionalLong.empty();
    private long newestDecodedVersion = Long.MIN_VALUE;

    private DocumentSection() {}

    /** Returns a section without a document in force. */
    public static DocumentSection create() {
        return new DocumentSection();
    }

    /** Returns the route table of the document in force; empty before the first. */
    public Optional<RouteTable> table() {
        return table;
    }

    /** Returns the document in force; empty before the first. */
    public Optional<ServiceDocument> document() {
        return table.map(RouteTable::document);
    }

    /** Returns the version in force; {@link Long#MIN_VALUE} before the first. */
    public long version() {
        return table.map(current -> current.document().version()).orElse(Long.MIN_VALUE);
    }

    /** Returns the version that was decoded last, also if it could not be read; {@link Long#MIN_VALUE} before the first. */
    long newestDecodedVersion() {
        return newestDecodedVersion;
    }

    /** Returns when a document was first held that could be put in force; sets it to the given time if there was none. */
    long heldSince(long nowNanos) {
        if (firstHeldNanos.isEmpty()) {
            firstHeldNanos = OptionalLong.of(nowNanos);
        }
        return firstHeldNanos.getAsLong();
    }

    void recordDecoded(long version) {
        newestDecodedVersion = version;
    }

    void putInForce(ServiceDocument document) {
        table = Optional.of(RouteTable.of(document));
    }

    void recordProposal(String proposalId, long ticket) {
        ticketsByProposal.put(proposalId, ticket);
    }

    /** Removes and returns the ticket of a proposal; empty if this daemon has not made it or it is already decided. */
    Optional<Long> takeTicket(String proposalId) {
        return Optional.ofNullable(ticketsByProposal.remove(proposalId));
    }
}
