package org.plantainwharf.backend;

/** An attempt at a request that is under way. Thread-safe. */
sealed interface CancellableAttempt permits ForwardAttempt, HandoverAttempt {
    /** Returns the id of the request, unique within this daemon. */
    long ticket();

    /** Sends the request. Called once. */
    void send();

    /** Closes the connection of the attempt. */
    void cancel();
}
