package org.plantainwharf.limit;

import java.time.Duration;
import java.util.Optional;

import org.plantainwharf.identity.RequestId;

/** Shares of account limits. Written by the controllers of this package. Owned by the control thread. */
public final class LimitSection {
    private LimitSection() {}

    /** Returns an empty section. */
    public static LimitSection create() {
        return new LimitSection();
    }

    /** Returns after what delay a call of an account may come again, empty if the call is within the limit. */
    public Optional<Duration> refusal(RequestId request) {
        return Optional.empty();
    }
}
