package org.plantainwharf.codec;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;

/**
 * Runs decoders and converts the exceptions that malformed input causes into {@link Failure} values. Stateless and
 * thread-safe.
 */
final class Decoding {
    private Decoding() {}

    /** Decodes one value. */
    @FunctionalInterface
    interface Decoder<T> {
        /** Returns the decoded value. Throws on malformed input. */
        T decode() throws InvalidProtocolBufferException;
    }

    /**
     * Returns the decoded value, or {@link ErrorKind#FRAME_INVALID} for malformed input. Besides decoding errors, this
     * covers {@link IllegalArgumentException}, which the constructors of identifiers and records throw for invalid
     * arguments, and {@link IllegalStateException}, which collectors throw for duplicate map keys.
     */
    static <T> Either<Failure, T> run(Decoder<T> decoder) {
        try {
            return Either.right(decoder.decode());
        } catch (InvalidProtocolBufferException
                | DecodingException
                | IllegalArgumentException
                | IllegalStateException e) {
            return Either.left(Failure.of(ErrorKind.FRAME_INVALID, String.valueOf(e.getMessage())));
        }
    }
}
