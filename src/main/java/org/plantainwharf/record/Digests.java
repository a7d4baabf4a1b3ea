package org.plantainwharf.record;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.plantainwharf.call.Content;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.Fingerprint;

/** SHA-256 digests of answers and requests. Stateless. */
public final class Digests {
    private Digests() {}

    /** Returns the SHA-256 of the bytes in lower-case hexadecimal. */
    public static String sha256(byte[] bytes) {
        return HexFormat.of().formatHex(newDigest().digest(bytes));
    }

    /** Returns the fingerprint of a request, which depends on its account and body but not on its id. */
    public static Fingerprint fingerprint(AccountName account, Content content) {
        MessageDigest digest = newDigest();
        digest.update(account.value().getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
        digest.update(content.bytes());
        return Fingerprint.of(HexFormat.of().formatHex(digest.digest()));
    }

    /** Returns a new SHA-256 message digest. */
    public static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must provide it", e);
        }
    }
}
