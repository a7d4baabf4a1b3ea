package org.plantainwharf.server;

/**
 * Load that a backend server reports with some delay. Immutable.
 *
 * @param running requests that are running on the server
 * @param queued requests that wait at the server
 * @param ageMillis age of the figures when the announcement was made
 */
public record LoadReport(int running, int queued, long ageMillis) {
    /** Returns the report of an idle server. */
    public static LoadReport idle() {
        return new LoadReport(0, 0, 0);
    }
}
