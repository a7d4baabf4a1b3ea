package org.plantainwharf.event;

import org.plantainwharf.call.Content;
import org.plantainwharf.document.ServiceDocument;

/** Operator requests on the service document. {@code ticket} identifies the exchange to answer. Immutable. */
public sealed interface DocumentEvent extends Event {
    /** Returns the id of the exchange to answer, unique within this daemon. */
    long ticket();

    /** A valid document was submitted. */
    record DocumentSubmitted(long ticket, ServiceDocument document, Content content) implements DocumentEvent {}

    /** The newest document was requested. */
    record DocumentRequested(long ticket) implements DocumentEvent {}
}
