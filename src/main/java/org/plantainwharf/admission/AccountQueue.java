package org.plantainwharf.admission;

import java.util.ArrayDeque;
import java.util.Deque;

import org.plantainwharf.call.CallEntry;
import org.plantainwharf.identity.AccountName;

/** Waiting calls of one account in one {@link FairQueue}, in order of arrival. Owned by the control thread. */
final class AccountQueue {
    private final AccountName account;
    private final Deque<CallEntry> calls = new ArrayDeque<>();
    private double weight = 1;
    private double startTag;
    private long activationOrder;

    private AccountQueue(AccountName account) {
        this.account = account;
    }

    static AccountQueue create(AccountName account) {
        return new AccountQueue(account);
    }

    AccountName account() {
        return account;
    }

    Deque<CallEntry> calls() {
        return calls;
    }

    double weight() {
        return weight;
    }

    void setWeight(double value) {
        weight = value;
    }

    /** Returns the virtual start time of the first call. */
    double startTag() {
        return startTag;
    }

    /** Returns the tie-breaker between equal start tags: the order in which the accounts became active. */
    long activationOrder() {
        return activationOrder;
    }

    void activate(double tag, long order) {
        startTag = tag;
        activationOrder = order;
    }

    void advance(double work) {
        startTag += work / weight;
    }
}
