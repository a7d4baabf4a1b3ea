package org.plantainwharf.sheet;

/** One difference between two sheets. Immutable. */
public sealed interface SheetChange {
    /** Returns the type and name of the row, for example {@code account stock} or {@code budget a/small}. */
    String subject();

    /** The row exists only in the second sheet. */
    record Added(String subject, String value) implements SheetChange {}

    /** The row exists only in the first sheet. */
    record Removed(String subject, String value) implements SheetChange {}

    /** One field of a row differs. */
    record Changed(String subject, String field, String before, String after) implements SheetChange {}
}
