package org.plantainwharf.front;

/** Texts of callers in messages. Stateless; thread-safe. */
final class ExternalText {
    private static final int MAXIMUM_CHARACTERS = 100;

    private ExternalText() {}

    /** Bounds a caller's text and replaces control characters, so that it can stand in an error message or log line. */
    static String sanitize(String text) {
        String bounded = text.length() <= MAXIMUM_CHARACTERS ? text : text.substring(0, MAXIMUM_CHARACTERS) + "...";
        return bounded.replaceAll("\\p{Cntrl}", "?");
    }
}
