package org.plantainwharf.keptpart;

import org.plantainwharf.observation.ServerStart;

/**
 * A part of a prompt that a server probably keeps. Immutable.
 *
 * @param server the start of the server that keeps it
 * @param part digest of the id of the part; parts with equal ids have equal content
 * @param tokens length of the part
 * @param ageMillis time since the server was known to use the part, when the message was sent
 */
public record KeptPart(ServerStart server, long part, long tokens, int ageMillis) {}
