package org.plantainwharf.forward;

/** What an answer says about the load of its server. Immutable. */
public sealed interface LoadReport {
    /** The answer says nothing. */
    record Absent() implements LoadReport {}

    /** The answer has a load header that cannot be read. The answer itself is not affected. */
    record Unreadable() implements LoadReport {}

    /**
     * The load at the time of the answer.
     *
     * @param hasUnknownFigures whether the header has more figures than this version reads
     */
    record Known(ServerLoad load, boolean hasUnknownFigures) implements LoadReport {}
}
