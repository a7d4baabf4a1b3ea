package org.plantainwharf.event;

import org.plantainwharf.sheet.Sheet;

/** Operator commands. {@code ticket} identifies the exchange to answer. Immutable. */
public sealed interface OperatorEvent extends Event {
    /** Returns the id of the exchange to answer, unique within this daemon. */
    long ticket();

    /** A valid sheet was submitted to be put in force. */
    record SheetSubmitted(long ticket, Sheet sheet) implements OperatorEvent {}

    /** A graceful stop of this daemon was requested. The ticket is 0 if a signal requested it. */
    record DrainRequested(long ticket) implements OperatorEvent {}
}
