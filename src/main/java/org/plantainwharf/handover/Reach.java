package org.plantainwharf.handover;

/** Whether this daemon can open connections to the servers of a service. Immutable. */
public sealed interface Reach {
    /** Nothing speaks against it. */
    record Open() implements Reach {}

    /** New connections fail, while servers still answer on older ones. */
    record OldConnectionsOnly() implements Reach {}

    /** New connections fail, and no server has answered on an older one since. */
    record CutOff() implements Reach {}

    /**
     * Connections can be opened again.
     *
     * @param sinceNanos when that was seen first
     */
    record Returning(long sinceNanos) implements Reach {}
}
