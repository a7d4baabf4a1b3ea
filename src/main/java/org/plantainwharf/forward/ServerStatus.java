package org.plantainwharf.forward;

import java.util.OptionalDouble;

/**
 * What a server says about itself in an answer. Immutable.
 *
 * @param requestsPerSecond limit of the requests that the server accepts from all daemons together; empty if it accepts
 *     any number
 */
public record ServerStatus(LoadReport load, OptionalDouble requestsPerSecond) {}
