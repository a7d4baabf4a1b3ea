package org.plantainwharf.observation;

import org.plantainwharf.identity.ServerId;

/**
 * What a daemon has seen of a backend server lately. Immutable.
 *
 * @param startEpochMillis start of the server that was seen, in milliseconds since the epoch
 * @param running requests that the server said it runs, over all daemons
 * @param waiting requests that the server said wait there
 * @param workTimePercent how long work takes on the server's machine; 100 is as usual
 * @param speedPercent how long the server takes for a prompt token, in percent of the usual server of its service
 * @param waitingPromptTokens prompt tokens that this daemon has sent there and that are not processed yet
 * @param ageMillis time since the server was seen, when the message was sent
 */
public record ServerObservation(
        ServerId server,
        long startEpochMillis,
        int running,
        int waiting,
        int workTimePercent,
        int speedPercent,
        long waitingPromptTokens,
        int ageMillis) {}
