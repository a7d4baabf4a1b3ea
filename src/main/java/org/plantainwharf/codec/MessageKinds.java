package org.plantainwharf.codec;

import java.util.Collection;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.wire.PeerProtocol;

/**
 * The kinds of messages that a daemon understands. Every supported build understands the kinds of the oldest one; only the
 * kinds that were added since are kept here and named in the hello. Immutable and thread-safe.
 */
public final class MessageKinds {
    /** Messages about entry daemons that do not reach servers. A build that knows one of them knows both. */
    private static final List<Integer> REACH_KINDS =
            List.of(PeerProtocol.Frame.REACH_REPORT_FIELD_NUMBER, PeerProtocol.Frame.HELPERS_FIELD_NUMBER);

    private static final MessageKinds OLDEST = new MessageKinds(List.of());
    private static final MessageKinds CURRENT = new MessageKinds(REACH_KINDS);

    private final SortedSet<Integer> added;

    private MessageKinds(Collection<Integer> added) {
        this.added = new TreeSet<>(added);
    }

    /** Returns the kinds of the oldest supported build, whose hello names none. */
    public static MessageKinds oldest() {
        return OLDEST;
    }

    /** Returns the kinds of this build. */
    public static MessageKinds current() {
        return CURRENT;
    }

    /** Returns the kinds that a hello names. Kinds that this build does not know are left out, as it never sends them. */
    static MessageKinds named(Collection<Integer> fieldNumbers) {
        return new MessageKinds(
                CURRENT.added.stream().filter(fieldNumbers::contains).toList());
    }

    /** Returns the kinds beyond those of the oldest supported build, as field numbers of a frame in ascending order. */
    SortedSet<Integer> added() {
        return added;
    }

    /** Returns whether a daemon that understands these kinds understands the message. */
    public boolean includes(PeerMessage message) {
        return added.containsAll(addedKinds(message));
    }

    /** Returns these kinds and those that the sender of the message understands as well. */
    public MessageKinds withSenderOf(PeerMessage message) {
        if (includes(message)) {
            return this;
        }
        SortedSet<Integer> joined = new TreeSet<>(added);
        joined.addAll(addedKinds(message));
        return new MessageKinds(joined);
    }

    private static List<Integer> addedKinds(PeerMessage message) {
        return switch (message) {
            case PeerMessage.ReachReport report -> REACH_KINDS;
            case PeerMessage.Helpers helpers -> REACH_KINDS;
            case PeerMessage.Heartbeat heartbeat -> List.of();
            case PeerMessage.ServerLeases leases -> List.of();
            case PeerMessage.Replication replication -> List.of();
            case PeerMessage.Propose propose -> List.of();
            case PeerMessage.ProposeResponse response -> List.of();
            case PeerMessage.Rejected rejected -> List.of();
            case PeerMessage.QueryRequest request -> List.of();
            case PeerMessage.QueryResponse response -> List.of();
            case PeerMessage.LimitDemand demand -> List.of();
            case PeerMessage.LimitGrant grant -> List.of();
            case PeerMessage.AllowanceReport report -> List.of();
            case PeerMessage.AllowanceGrant grant -> List.of();
            case PeerMessage.WorkAssigned assigned -> List.of();
            case PeerMessage.WorkAcknowledged acknowledged -> List.of();
            case PeerMessage.KnownPeers peers -> List.of();
            case PeerMessage.ServerReports reports -> List.of();
            case PeerMessage.UsageCounts usage -> List.of();
            case PeerMessage.DemandReport report -> List.of();
            case PeerMessage.StreamOrigins origins -> List.of();
            case PeerMessage.OriginQuestion question -> List.of();
            case PeerMessage.OriginReply reply -> List.of();
            case PeerMessage.RolloutEvidence evidence -> List.of();
            case PeerMessage.ServerObservations observations -> List.of();
            case PeerMessage.KeptParts parts -> List.of();
            case PeerMessage.RoomReport report -> List.of();
            case PeerMessage.RoomGrant grant -> List.of();
        };
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof MessageKinds kinds && added.equals(kinds.added);
    }

    @Override
    public int hashCode() {
        return added.hashCode();
    }

    /** Returns the added kinds, for logs. */
    @Override
    public String toString() {
        return added.toString();
    }
}
