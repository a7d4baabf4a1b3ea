package org.plantainwharf.drain;

/** Phase of a drain. Times are on this host's monotonic clock. Immutable. */
public sealed interface DrainPhase {
    /** No drain was requested. */
    record Serving() implements DrainPhase {}

    /** The health check fails; calls are still accepted until the load balancer has noticed. */
    record Announcing(long sinceNanos) implements DrainPhase {}

    /** New calls are refused; running calls continue. */
    record Finishing(long sinceNanos) implements DrainPhase {}

    /** The drain has ended and the daemon exits; only after the drain limit may calls or records be left. */
    record Finished() implements DrainPhase {}
}
