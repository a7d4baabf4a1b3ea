package org.plantainwharf.record;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.plantainwharf.call.Content;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.Fingerprint;

/** Digests of contents. Stateless. */
public final class Digests {
    private Digests() {}

    /** Returns the lower-case hexadecimal SHA-256 of bytes. */
    public static String sha256(byte[] bytes) {
        return HexFormat.of().formatHex(newDigest().digest(bytes));
    }

    /** Returns the fingerprint of an account and a body, independent of the request id. */
    public static Fingerprint fingerprint(AccountName account, Content content) {
        MessageDigest digest = newDigest();
        digest.update(account.value().getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        digest.update(content.bytes());
        return Fingerprint.of(HexFormat.of().formatHex(digest.digest()));
    }

    /** Returns an empty SHA-256. */
    public static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
