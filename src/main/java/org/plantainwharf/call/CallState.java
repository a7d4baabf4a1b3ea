package org.plantainwharf.call;

import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.identity.ServerId;

/** The processing stage of a live call on this host. Immutable. */
public sealed interface CallState {
    /** Checks before admission are in progress. */
    record Arrived() implements CallState {}

    /** Waits in the admission queue. */
    record Queued(long sinceNanos) implements CallState {}

    /** Admitted; waits for the commit of a record: the intent of an order or the acceptance of long work. */
    record Recording(long sinceNanos) implements CallState {}

    /** May be sent; waits for the choice of a backend server. */
    record Ready(long sinceNanos) implements CallState {}

    /** An attempt runs on a backend server. */
    record Running(AttemptId attempt, ServerId server, long sinceNanos) implements CallState {}

    /** The answer is being recorded before it is sent to the caller. */
    record Completing(long sinceNanos) implements CallState {}
}
