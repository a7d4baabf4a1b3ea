package org.plantainwharf.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.plantainwharf.document.AccountRule;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServiceName;

/** One request that is passed on. Owned by the control thread; changed by the forward controller only. */
public final class ForwardCall {
    private final long ticket;
    private final ForwardHead head;
    private final RouteRule route;
    private final Optional<AccountRule> account;
    private final ServiceName service;
    private final Admission admission;
    private final Set<ServerId> triedServers = new HashSet<>();
    private State state = new State.Waiting();
    private int attempts;
    private int possibleRuns;
    private boolean callerDisconnected;

    /**
     * Time and cost of a request. Immutable.
     *
     * @param arrivedNanos when the request was read whole
     * @param deadlineNanos when the caller or the route gives up, whichever is first
     * @param cost tokens, or 1 request, taken from the account's limit
     */
    public record Admission(long arrivedNanos, long deadlineNanos, double cost) {}

    /** Where a request stands. */
    public sealed interface State {
        /** No attempt runs. */
        record Waiting() implements State {}

        /**
         * An attempt runs at a server.
         *
         * @param uncachedTokens prompt tokens that the server was expected to read
         * @param answerStarted whether the answer is being passed on
         */
        record Running(ServerId server, int attempt, long uncachedTokens, long sentNanos, boolean answerStarted)
                implements State {}

        /** The end of the caller's request is decided; the attempt that still runs is being cancelled. */
        record Cancelling(ServerId server, int attempt, long uncachedTokens, boolean answerStarted) implements State {}
    }

    ForwardCall(
            long ticket,
            ForwardHead head,
            RouteRule route,
            Optional<AccountRule> account,
            ServiceName service,
            Admission admission) {
        this.ticket = ticket;
        this.head = head;
        this.route = route;
        this.account = account;
        this.service = service;
        this.admission = admission;
    }

    /** Returns the ticket. */
    public long ticket() {
        return ticket;
    }

    /** Returns what the request says of itself. */
    public ForwardHead head() {
        return head;
    }

    /** Returns the route that was in force on arrival. */
    public RouteRule route() {
        return route;
    }

    /** Returns the account that holds the caller's key. */
    public Optional<AccountRule> account() {
        return account;
    }

    /** Returns the service that this request goes to. */
    public ServiceName service() {
        return service;
    }

    /** Returns time and cost. */
    public Admission admission() {
        return admission;
    }

    /** Returns where the request stands. */
    public State state() {
        return state;
    }

    void setState(State newState) {
        state = newState;
    }

    /** Returns the servers that were tried. */
    public Set<ServerId> triedServers() {
        return triedServers;
    }

    /** Returns the attempts begun so far. */
    public int attempts() {
        return attempts;
    }

    int nextAttempt(ServerId server) {
        triedServers.add(server);
        attempts++;
        return attempts;
    }

    /** Returns the attempts that may have run. */
    public int possibleRuns() {
        return possibleRuns;
    }

    void countPossibleRun() {
        possibleRuns++;
    }

    /** Says whether the caller closed its connection. */
    public boolean callerDisconnected() {
        return callerDisconnected;
    }

    void setCallerDisconnected() {
        callerDisconnected = true;
    }

    /** Returns the time left in milliseconds, at least 0. */
    public long remainingMillis(long nowNanos) {
        return Math.max(0, (admission.deadlineNanos() - nowNanos) / 1_000_000);
    }
}
