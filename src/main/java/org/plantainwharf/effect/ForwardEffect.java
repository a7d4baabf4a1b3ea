package org.plantainwharf.effect;

import java.util.Optional;

import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.ServerId;

/** What to do with a request that is passed on. Immutable. */
public sealed interface ForwardEffect extends Effect {
    /** Identifies the request within this daemon. */
    long ticket();

    /**
     * Sends the request to a server.
     *
     * @param remainingMillis time left to the caller, handed to the server
     * @param account name told to the server in place of the key
     * @param priority urgency told to a model engine, 0 first
     * @param resumable whether only whole events are passed on, so that another server can go on after the last one
     */
    record StartForward(
            long ticket,
            int attempt,
            ServerId server,
            String address,
            long remainingMillis,
            Optional<AccountName> account,
            int priority,
            boolean resumable)
            implements ForwardEffect {}

    /** Cancels the running attempt; its connection is closed, so that the server stops work. */
    record CancelForward(long ticket) implements ForwardEffect {}

    /** Answers with an error of this system. */
    record RefuseForward(long ticket, Failure failure) implements ForwardEffect {}

    /** Passes on the server's own failure that was held back. */
    record PassFailure(long ticket) implements ForwardEffect {}

    /** Ends an answer that has begun without its end, so that it cannot be taken for whole. */
    record BreakForward(long ticket) implements ForwardEffect {}
}
