package org.plantainwharf.codec;

/**
 * Thrown when a message, or a part of it, is of a kind that this build does not know. The link stays open, unlike after other
 * decoding errors, because a newer build may have sent the message.
 */
final class UnknownKindException extends DecodingException {
    private static final long serialVersionUID = 1L;

    UnknownKindException(String message) {
        super(message);
    }
}
