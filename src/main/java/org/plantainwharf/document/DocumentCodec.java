package org.plantainwharf.document;

import io.vavr.control.Either;
import org.plantainwharf.call.Content;
import org.plantainwharf.error.Failure;

/** Parses a service document as the operator submitted it. Implementations are thread-safe. */
public interface DocumentCodec {
    /** Returns a valid document, or a {@code DOCUMENT_INVALID} failure that lists every problem found. */
    Either<Failure, ServiceDocument> decode(Content content);
}
