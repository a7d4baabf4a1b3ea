package org.plantainwharf.document;

/**
 * Size and time limits of callers' connections. Immutable.
 *
 * @param maximumHeaderBytes maximum size of the headers of a request
 * @param maximumBodyBytes maximum size of the body of a request
 * @param headerTimeoutMillis maximum time to receive the headers of a request
 * @param idleTimeoutMillis maximum time that a connection may be idle between requests
 */
public record CallerBounds(
        int maximumHeaderBytes, int maximumBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Returns the bounds that apply if the document contains none. */
    public static CallerBounds defaults() {
        return new CallerBounds(16 << 10, 4 << 20, 3_000, 15_000);
    }
}
