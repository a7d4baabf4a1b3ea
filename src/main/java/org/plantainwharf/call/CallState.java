package org.plantainwharf.call;

import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.identity.ServerId;

/** The stage a live call has reached on this host. Immutable. */
public sealed interface CallState {
    /** Checks before admission are under way. */
    record Arrived() implements CallState {}

    /** Waits in the admission queue. */
    record Queued(long sinceNanos) implements CallState {}

    /** Admitted; waits until a record is committed: the intent of an order or the acceptance of long work. */
    record Recording(long sinceNanos) implements CallState {}

    /** May be sent; waits for a backend server to be chosen. */
    record Ready(long sinceNanos) implements CallState {}

    /** Runs on a backend server. */
    record Running(AttemptId attempt, ServerId server, long sinceNanos) implements CallState {}

    /** Its answer is being recorded before the caller gets it. */
    record Completing(long sinceNanos) implements CallState {}
}
