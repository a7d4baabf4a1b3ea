package org.plantainwharf.document;

/**
 * What a caller may send and how long it may take.
 *
 * @param maximumHeaderBytes largest headers of a request
 * @param maximumBodyBytes largest body of a request
 * @param headerMillis longest time for the headers of a request
 * @param idleMillis how long a connection may be idle between requests
 */
public record CallerBounds(int maximumHeaderBytes, int maximumBodyBytes, long headerMillis, long idleMillis) {
    /** Returns the bounds used when a document gives none. */
    public static CallerBounds defaults() {
        return new CallerBounds(16 << 10, 4 << 20, 3_000, 15_000);
    }
}
