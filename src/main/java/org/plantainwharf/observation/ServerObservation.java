package org.plantainwharf.observation;

/**
 * What a daemon has seen of a backend server lately. Immutable.
 *
 * @param running requests that the server said it runs, over all daemons
 * @param waiting requests that the server said wait there
 * @param workTimePercent how long work takes on the server's machine; 100 is as usual
 * @param speedPercent how long the server takes for a prompt token, in percent of the usual server of its service; 0 if
 *     nothing was learned of it since the previous observation
 * @param ageMillis time since the server was seen, when the message was sent
 */
public record ServerObservation(
        ServerStart server, int running, int waiting, int workTimePercent, int speedPercent, int ageMillis) {}
