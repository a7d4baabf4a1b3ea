package org.plantainwharf.sheet;

/** One difference between two sheets. Immutable. */
public sealed interface SheetChange {
    /** What the row describes, for example {@code account stock} or {@code budget a/small}. */
    String subject();

    /** The row is only in the second sheet. */
    record Added(String subject, String value) implements SheetChange {}

    /** The row is only in the first sheet. */
    record Removed(String subject, String value) implements SheetChange {}

    /** One value of a row differs. */
    record Changed(String subject, String field, String before, String after) implements SheetChange {}
}
