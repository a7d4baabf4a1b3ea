package org.plantainwharf.forward;

import org.plantainwharf.board.Board;
import org.plantainwharf.document.AccountRule;

/** Charges the cost of a request to the limit of its account and refunds it if the request has not run. Stateless. */
final class AccountLimits {
    private final ForwardLimits limits;

    AccountLimits(ForwardLimits limits) {
        this.limits = limits;
    }

    /** Charges the request's cost; returns false and charges nothing if the limit is exhausted. */
    boolean tryCharge(AccountRule account, ForwardCall call, Board board, long nowNanos) {
        return board.allowances().tryCharge(account, call.admission().cost(), bucketDepth(account), nowNanos);
    }

    /**
     * Refunds the cost of a request that has not run and will not run, or that another daemon charges. Does nothing for
     * accounts without a limit, and the second time.
     */
    void refund(ForwardCall call, Board board, long nowNanos) {
        if (!call.markRefunded()) {
            return;
        }
        call.account().filter(AccountRule::limited).ifPresent(account -> board.allowances()
                .refund(account, call.admission().cost(), nowNanos));
    }

    /** Returns the time in milliseconds until the account may send the request. */
    long millisUntilAvailable(AccountRule account, ForwardCall call, Board board, long nowNanos) {
        return board.allowances()
                .millisUntilAvailable(account, call.admission().cost(), bucketDepth(account), nowNanos);
    }

    private double bucketDepth(AccountRule account) {
        return limits.bucketDepth(account.ratePerSecond(), account.burst());
    }
}
