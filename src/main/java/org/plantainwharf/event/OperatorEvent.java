package org.plantainwharf.event;

import org.plantainwharf.sheet.Sheet;

/** What operators ask for. The ticket identifies the exchange to answer. Immutable. */
public sealed interface OperatorEvent extends Event {
    /** Put a sheet in force. */
    record SheetSubmitted(long ticket, Sheet sheet) implements OperatorEvent {}

    /** Stop this daemon gracefully; a signal has ticket 0. */
    record DrainRequested(long ticket) implements OperatorEvent {}
}
