package org.plantainwharf.message;

import org.plantainwharf.server.Announcement;

/**
 * The announcement of a backend server with its remaining validity. Immutable.
 *
 * @param remainingMillis remaining validity when the message was written, 0 for a server that is shutting down
 */
public record ServerLease(Announcement announcement, long remainingMillis) {}
