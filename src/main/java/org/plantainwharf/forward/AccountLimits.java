package org.plantainwharf.forward;

import org.plantainwharf.board.Board;
import org.plantainwharf.document.AccountRule;

/** Takes what a request costs from the limit of its account, and gives it back if the request has not run. Stateless. */
final class AccountLimits {
    private final ForwardLimits limits;

    AccountLimits(ForwardLimits limits) {
        this.limits = limits;
    }

    /** Takes the request's cost; false if nothing is left. */
    boolean tryCharge(AccountRule account, ForwardCall call, Board board, long nowNanos) {
        return board.allowances().tryTake(account, call.admission().cost(), bucketDepth(account), nowNanos);
    }

    /** Gives back the cost of a request that has not run and never will. */
    void refund(ForwardCall call, Board board, long nowNanos) {
        call.account().filter(AccountRule::limited).ifPresent(account -> board.allowances()
                .giveBack(account, call.admission().cost(), nowNanos));
    }

    /** Returns the time until something is left, in milliseconds. */
    long millisUntilAvailable(AccountRule account, Board board, long nowNanos) {
        return board.allowances().millisUntilOpen(account, bucketDepth(account), nowNanos);
    }

    private double bucketDepth(AccountRule account) {
        return limits.bucketDepth(account.ratePerSecond(), account.burst());
    }
}
