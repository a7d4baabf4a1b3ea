package org.plantainwharf.front;

/** Sanitizes text from outside this process. Stateless; thread-safe. */
final class ExternalText {
    private static final int MAXIMUM_CHARACTERS = 100;

    private ExternalText() {}

    /** Truncates a text and replaces its control characters, so that it is safe in an error message or log line. */
    static String sanitize(String text) {
        String bounded = text.length() <= MAXIMUM_CHARACTERS ? text : text.substring(0, MAXIMUM_CHARACTERS) + "...";
        return bounded.replaceAll("\\p{Cntrl}", "?");
    }
}
