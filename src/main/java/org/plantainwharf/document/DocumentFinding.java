package org.plantainwharf.document;

/** Something in a valid service document that cannot be what its operator means. Immutable. */
public sealed interface DocumentFinding {
    /** Returns the type and name of the entry, for example {@code route chat}. */
    String subject();

    /** Returns what is wrong with it. */
    String problem();

    /** No request ever matches the entry. */
    record NeverMatches(String subject, String problem) implements DocumentFinding {}

    /** A field has no effect because of another one. */
    record WithoutEffect(String subject, String problem) implements DocumentFinding {}

    /** Two limits contradict each other. */
    record Contradiction(String subject, String problem) implements DocumentFinding {}
}
