package org.plantainwharf.keptpart;

import org.plantainwharf.identity.ServerId;

/**
 * A part of a prompt that a server keeps, or has dropped. Immutable.
 *
 * @param startEpochMillis start of the server that keeps it, in milliseconds since the epoch
 * @param part id of the part; parts with equal ids have equal content
 * @param tokens length of the part
 * @param ageMillis time since the server was known to use the part, when the message was sent
 * @param dropped whether the server no longer keeps it
 */
public record KeptPart(
        ServerId server, long startEpochMillis, String part, long tokens, int ageMillis, boolean dropped) {}
