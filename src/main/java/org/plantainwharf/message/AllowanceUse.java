package org.plantainwharf.message;

/**
 * One daemon's use of an account's limit. Amounts are in tokens or requests, the unit of the limit. Immutable.
 *
 * @param used cumulative use by forwarded requests since the daemon's start
 * @param debt the debt of all daemons as far as this daemon knows it, including its own use
 * @param demandPerSecond smoothed demand of its callers, whether the requests were forwarded or not
 */
public record AllowanceUse(double used, double debt, double demandPerSecond) {}
