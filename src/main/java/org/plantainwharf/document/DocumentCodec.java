package org.plantainwharf.document;

import io.vavr.control.Either;
import org.plantainwharf.call.Content;
import org.plantainwharf.error.Failure;

/** Reads a service document from the operator's bytes. Implementations are thread-safe. */
public interface DocumentCodec {
    /** Returns a valid document, or {@code DOCUMENT_INVALID} with every problem found. */
    Either<Failure, ServiceDocument> decode(Content content);
}
