package org.plantainwharf.codec;

import com.google.protobuf.UnknownFieldSet;

/**
 * Thrown when input is valid protobuf but not a valid message of this protocol. {@link Decoding} converts it to a
 * failure, so it does not leave this package.
 */
class DecodingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Number of unknown fields that an exception names. */
    private static final int MAXIMUM_FIELDS = 4;

    DecodingException(String message) {
        super(message);
    }

    /**
     * Returns the exception for a message in which none of the known kinds is set.
     *
     * @param what the message, for logs
     * @param fields what the message has instead: the fields of a newer kind, or nothing
     */
    static DecodingException kindNotSet(String what, UnknownFieldSet fields) {
        return fields.asMap().isEmpty()
                ? new DecodingException("kind of " + what + " is missing")
                : new UnknownKindException(what + " is of an unknown kind, fields "
                        + fields.asMap().keySet().stream().limit(MAXIMUM_FIELDS).toList());
    }
}
