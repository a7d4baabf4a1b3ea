package org.plantainwharf.message;

/**
 * What one daemon has passed on for an account. Immutable. Amounts are tokens or requests, as the limit counts.
 *
 * @param used passed on since the daemon's start
 * @param debt what the daemon knows of the debt of all daemons, its own use included
 * @param askedPerSecond what its callers asked lately, passed on or not
 */
public record AllowanceUse(double used, double debt, double askedPerSecond) {}
