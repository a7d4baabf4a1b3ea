package org.plantainwharf.message;

/**
 * One daemon's part of an account's limit. Immutable. Amounts are tokens or requests, as the limit counts.
 *
 * @param debt what all daemons have passed on and the rate has not paid yet
 * @param counted use of the receiver that is contained in the debt
 * @param part part of the limit that is the receiver's, 0 to 1
 */
public record AllowanceShare(double debt, double counted, double part) {}
