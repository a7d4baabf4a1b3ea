package org.plantainwharf.effect;

import org.plantainwharf.call.Content;
import org.plantainwharf.document.CallerBounds;

/** Answers about the service document. Immutable. */
public sealed interface DocumentEffect extends Effect {
    /** Acknowledges a document: it, or a newer one, is committed. */
    record AcknowledgeDocument(long ticket, long version) implements DocumentEffect {}

    /** Hands out the newest document. */
    record ReturnDocument(long ticket, long version, Content content) implements DocumentEffect {}

    /** Says that the outcome is not known; the operator sends again. */
    record RefuseDocument(long ticket) implements DocumentEffect {}

    /** Applies a new document's bounds to the connections of callers. */
    record ApplyCallerBounds(CallerBounds bounds) implements DocumentEffect {}
}
