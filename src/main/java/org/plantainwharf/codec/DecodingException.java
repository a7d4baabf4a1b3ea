package org.plantainwharf.codec;

/**
 * Thrown when input is valid protobuf but not a valid message of this protocol. {@link Decoding} converts it to a
 * failure, so it does not leave this package.
 */
final class DecodingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    DecodingException(String message) {
        super(message);
    }
}
