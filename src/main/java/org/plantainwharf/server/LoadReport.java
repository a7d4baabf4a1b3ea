package org.plantainwharf.server;

/**
 * The load a backend server reports, some time late. Immutable.
 *
 * @param running requests being run
 * @param queued requests waiting at the server
 * @param ageMillis age of the figures when the announcement was made
 */
public record LoadReport(int running, int queued, long ageMillis) {
    /** Returns the report of an idle server. */
    public static LoadReport idle() {
        return new LoadReport(0, 0, 0);
    }
}
