package org.plantainwharf.front;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256. Stateless; thread-safe. */
final class Digests {
    private Digests() {}

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Returns the lower-case hexadecimal digest of a text in UTF-8. */
    static String hex(String text) {
        return HexFormat.of().formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the lower-case hexadecimal digest of a text, a zero byte and further bytes. */
    static String hex(String text, byte[] bytes) {
        MessageDigest digest = sha256();
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        return HexFormat.of().formatHex(digest.digest(bytes));
    }
}
