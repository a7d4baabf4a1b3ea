package org.plantainwharf.event;

import org.plantainwharf.call.Content;
import org.plantainwharf.document.ServiceDocument;

/** What operators ask about the service document. Immutable. */
public sealed interface DocumentEvent extends Event {
    /** A valid document arrived; {@code ticket} identifies the answer. */
    record DocumentSubmitted(long ticket, ServiceDocument document, Content content) implements DocumentEvent {}

    /** The newest document is asked for. */
    record DocumentRequested(long ticket) implements DocumentEvent {}
}
