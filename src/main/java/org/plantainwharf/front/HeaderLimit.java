package org.plantainwharf.front;

import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;

/** Limit of a listener on the size of a head, and whether a longer head is known to be wrong. Immutable; thread-safe. */
sealed interface HeaderLimit {
    /** The limit is part of the configuration in force. */
    record InForce(int bytes) implements HeaderLimit {}

    /** The configuration is not known yet; it may allow longer heads. */
    record Provisional(int bytes) implements HeaderLimit {}

    /** Returns the largest size of a head. */
    int bytes();

    /**
     * Returns the answer to a request whose head is longer than the limit of its connection. A connection keeps the limit
     * with which it was opened, so that such a head may be within the present limit; a new connection has that one.
     */
    default Failure failure(HeaderLimit ofConnection) {
        return switch (this) {
            case InForce limit ->
                ofConnection.bytes() < limit.bytes()
                        ? Failure.of(ErrorKind.REQUEST_NOT_RECEIVED, "this connection has a former limit on headers")
                        : Failure.of(ErrorKind.HEADERS_TOO_LARGE, limit.bytes());
            case Provisional limit -> Failure.of(ErrorKind.CONFIGURATION_MISSING);
        };
    }
}
