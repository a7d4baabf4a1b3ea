package org.plantainwharf.room;

import java.util.OptionalLong;

/** Whether a request is let in while room is short. Immutable. */
public sealed interface RoomDecision {
    /** The request may be sent. */
    record Admitted(Basis basis) implements RoomDecision {}

    /**
     * The request is not sent.
     *
     * @param returnMillis time after which a place is kept for the caller; empty if none is free in time
     */
    record Refused(Reason reason, OptionalLong returnMillis) implements RoomDecision {}

    /** Why a request is let in. */
    enum Basis {
        /** A place is free at a server where nothing waits. */
        FREE_PLACE,
        /** It waits for a small part of its target only, and less urgent ones have got their floor. */
        SHORT_WAIT,
        /** It is within the share of its account and priority. */
        SHARE,
        /** A place was kept for it. */
        KEPT_PLACE,
        /** It may not repeat, and goes before those that may. */
        NOT_REPEATABLE,
        /** Its priority got less than its floor lately. */
        FLOOR;

        /** Returns the name in metrics and log lines. */
        public String code() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /** Why a request is refused. */
    enum Reason {
        /** Its account or priority has used its share. */
        SHARE_USED,
        /** What goes before it makes it later than its target. */
        TOO_LATE,
        /** It cannot be answered before its deadline at any server. */
        DEADLINE;

        /** Returns the name in metrics and log lines. */
        public String code() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }
}
