package org.plantainwharf.front;

/** Texts of callers in messages. Stateless; thread-safe. */
final class Texts {
    private static final int MAXIMUM_LENGTH = 100;

    private Texts() {}

    /** Bounds a caller's text and replaces control characters, so that it can stand in an error message or log line. */
    static String shorten(String text) {
        String bounded = text.length() <= MAXIMUM_LENGTH ? text : text.substring(0, MAXIMUM_LENGTH) + "...";
        return bounded.replaceAll("\\p{Cntrl}", "?");
    }
}
