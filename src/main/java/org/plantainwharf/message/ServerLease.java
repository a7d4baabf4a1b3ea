package org.plantainwharf.message;

import org.plantainwharf.server.Announcement;

/**
 * The announcement of a backend server with its remaining validity.
 *
 * @param remainingMillis validity left when the message was written, 0 for a server that is leaving
 */
public record ServerLease(Announcement announcement, long remainingMillis) {}
