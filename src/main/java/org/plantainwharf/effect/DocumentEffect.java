package org.plantainwharf.effect;

import org.plantainwharf.call.Content;
import org.plantainwharf.document.CallerBounds;

/** Answers to requests on the service document, and changes that a new document causes. Immutable. */
public sealed interface DocumentEffect extends Effect {
    /** Acknowledges a submitted document: this version or a newer one is committed. */
    record AcknowledgeDocument(long ticket, long version) implements DocumentEffect {}

    /** Returns the newest document. */
    record ReturnDocument(long ticket, long version, Content content) implements DocumentEffect {}

    /** Answers that the outcome of the request is unknown and that the operator should resend it. */
    record RefuseDocument(long ticket) implements DocumentEffect {}

    /** Applies the limits in a new document to caller connections. */
    record ApplyCallerBounds(CallerBounds bounds) implements DocumentEffect {}
}
