package org.plantainwharf.front;

import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;

/** Limit of a listener on the size of a head, and whether a longer head is known to be wrong. Immutable; thread-safe. */
sealed interface HeaderLimit {
    /** The limit is part of the configuration in force. */
    record InForce(int bytes) implements HeaderLimit {}

    /** The configuration is not known yet; it may allow longer heads. */
    record Provisional(int bytes) implements HeaderLimit {}

    /** Returns the answer to a request with a longer head. */
    default Failure failure() {
        return switch (this) {
            case InForce limit -> Failure.of(ErrorKind.HEADERS_TOO_LARGE, limit.bytes());
            case Provisional limit -> Failure.of(ErrorKind.CONFIGURATION_MISSING);
        };
    }
}
