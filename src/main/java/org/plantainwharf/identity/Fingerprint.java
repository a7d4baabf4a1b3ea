package org.plantainwharf.identity;

/**
 * Identifies content that may crash the servers that process it, independently of request ids: a whole request, or one
 * part of a prompt that several requests may share. Immutable.
 *
 * @param value lower-case hexadecimal SHA-256 of a whole request, or the id of a prompt part after a prefix
 */
public record Fingerprint(String value) {
    private static final String PROMPT_PART_PREFIX = "part:";

    /** Returns the fingerprint with this digest. */
    public static Fingerprint of(String value) {
        return new Fingerprint(value);
    }

    /** Returns the fingerprint of a prompt part. Parts with equal ids have equal content. */
    public static Fingerprint ofPromptPart(String id) {
        return new Fingerprint(PROMPT_PART_PREFIX + id);
    }

    /** Returns whether this identifies a prompt part, which several requests may share. */
    public boolean isPromptPart() {
        return value.startsWith(PROMPT_PART_PREFIX);
    }
}
