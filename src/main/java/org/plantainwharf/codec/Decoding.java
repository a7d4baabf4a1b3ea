package org.plantainwharf.codec;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;

/** Turns every way in which foreign bytes can be wrong into a failure. Stateless and thread-safe. */
final class Decoding {
    private Decoding() {}

    /** Reads one value. */
    @FunctionalInterface
    interface Decoder<T> {
        /** Returns the value or throws. */
        T decode() throws InvalidProtocolBufferException;
    }

    /**
     * Runs a decoding step. The constructors of identifiers and records check their arguments with
     * {@link IllegalArgumentException}; repeated keys end in {@link IllegalStateException}.
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
