package org.plantainwharf.identity;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Software version that a backend server states. Versions are equal or different; they have no order. Invariant: the
 * text has at most {@link #MAXIMUM_CHARACTERS} characters. Immutable.
 *
 * @param value the text that the server states, or a digest of a longer one; empty if it states none
 */
public record ServerVersion(String value) {
    /** Longer texts are replaced by their digest, so that no server decides how much memory its version takes. */
    public static final int MAXIMUM_CHARACTERS = 80;

    private static final ServerVersion UNSTATED = new ServerVersion("");

    /** Throws {@link IllegalArgumentException} if the text is too long. */
    public ServerVersion {
        if (value.length() > MAXIMUM_CHARACTERS) {
            throw new IllegalArgumentException("version has more than " + MAXIMUM_CHARACTERS + " characters");
        }
    }

    /** Returns the version with this text. */
    public static ServerVersion of(String text) {
        return new ServerVersion(text.length() <= MAXIMUM_CHARACTERS ? text : "sha256:" + digest(text));
    }

    /** Returns the version of servers that state none. */
    public static ServerVersion unstated() {
        return UNSTATED;
    }

    /** Returns whether the server states a version. */
    public boolean stated() {
        return !value.isEmpty();
    }

    private static String digest(String text) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
