package org.plantainwharf.codec;

/** Bytes are valid protobuf but not a message of this system. Does not leave this package. */
final class DecodingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    DecodingException(String message) {
        super(message);
    }
}
