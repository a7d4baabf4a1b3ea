package org.plantainwharf.difference;

/** One difference between two versions of a configuration. Immutable. */
public sealed interface RowChange {
    /** Returns the type and name of the row, for example {@code account stock} or {@code budget a/small}. */
    String subject();

    /** The row exists only in the second version. */
    record Added(String subject, String value) implements RowChange {}

    /** The row exists only in the first version. */
    record Removed(String subject, String value) implements RowChange {}

    /** One field of a row differs. */
    record Changed(String subject, String field, String before, String after) implements RowChange {}
}
