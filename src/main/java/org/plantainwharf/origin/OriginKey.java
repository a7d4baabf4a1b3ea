package org.plantainwharf.origin;

import java.nio.charset.StandardCharsets;

import org.plantainwharf.record.Digests;

/**
 * Keys of records of origins: the id of the attempt that brought the first event. Invariant: a key has at most
 * {@link #MAXIMUM_CHARACTERS} characters, so that no caller decides how much memory a record takes. Stateless and
 * thread-safe.
 */
final class OriginKey {
    /** Longer ids are replaced by their digest. */
    static final int MAXIMUM_ATTEMPT_CHARACTERS = 64;

    private static final String DIGEST_PREFIX = "sha256:";

    /** Length of a digest with its prefix. */
    static final int MAXIMUM_CHARACTERS = 71;

    private OriginKey() {}

    /** Returns the key of an attempt. */
    static String of(String attempt) {
        return attempt.length() <= MAXIMUM_ATTEMPT_CHARACTERS
                ? attempt
                : DIGEST_PREFIX + Digests.sha256(attempt.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns whether a text may be a key. */
    static boolean isValid(String key) {
        return !key.isEmpty() && key.length() <= MAXIMUM_CHARACTERS;
    }

    /** Returns a text that is not the key of any attempt, because it is too long. */
    static String ofNoAttempt(long number) {
        return "-".repeat(MAXIMUM_CHARACTERS) + number;
    }
}
