package org.plantainwharf.forward;

/**
 * Load that a server reports along with an answer. Immutable.
 *
 * @param running requests in progress
 * @param waiting requests queued at the server
 * @param slots maximum number of concurrent requests
 * @param workTimePercent how long work takes on the server's machine at this moment; {@link #USUAL_WORK_TIME_PERCENT} as
 *     usual, 200 twice as long
 */
public record ServerLoad(int running, int waiting, int slots, int workTimePercent) {
    /** Value of {@code workTimePercent} of a machine at its usual speed, and of servers that do not report it. */
    public static final int USUAL_WORK_TIME_PERCENT = 100;
}
