package org.plantainwharf.message;

/**
 * One daemon's share of an account's limit. Amounts are in tokens or requests, the unit of the limit. Immutable.
 *
 * @param debt use by all daemons that the account's rate has not replenished yet
 * @param includedUse the receiver's cumulative use that is included in the debt
 * @param fraction fraction of the limit that is assigned to the receiver, 0 to 1
 */
public record AllowanceShare(double debt, double includedUse, double fraction) {}
