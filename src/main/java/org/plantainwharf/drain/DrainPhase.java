package org.plantainwharf.drain;

/** Phase of a planned stop. Immutable. */
public sealed interface DrainPhase {
    /** No stop was asked for. */
    record Serving() implements DrainPhase {}

    /** The health check fails; calls are still taken until the balancer has noticed. */
    record Announcing(long sinceNanos) implements DrainPhase {}

    /** New calls are refused; running ones finish. */
    record Finishing(long sinceNanos) implements DrainPhase {}

    /** Nothing runs any more. */
    record Finished() implements DrainPhase {}
}
