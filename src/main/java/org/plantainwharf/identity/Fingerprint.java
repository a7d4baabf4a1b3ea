package org.plantainwharf.identity;

/**
 * Identifies the account and body of a request independently of its request id. Immutable.
 *
 * @param value lower-case hexadecimal SHA-256 of account name, a zero byte and body
 */
public record Fingerprint(String value) {
    /** Returns the fingerprint with this digest. */
    public static Fingerprint of(String value) {
        return new Fingerprint(value);
    }
}
