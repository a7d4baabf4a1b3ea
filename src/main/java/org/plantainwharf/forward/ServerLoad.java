package org.plantainwharf.forward;

/**
 * Load that a server reports along with an answer. Immutable.
 *
 * @param running requests in progress
 * @param waiting requests queued at the server
 * @param slots maximum number of concurrent requests
 */
public record ServerLoad(int running, int waiting, int slots) {}
