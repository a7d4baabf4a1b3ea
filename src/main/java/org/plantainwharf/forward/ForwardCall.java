package org.plantainwharf.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.plantainwharf.document.AccountRule;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.origin.StreamOrigin;

/**
 * State of one forwarded request on the control thread. The exchange with the caller is kept by the HTTP front end,
 * which refers to the request by the same ticket. Invariant: the origin of its stream is set at most once. Owned by the
 * control thread; modified only by the forward controller.
 */
public final class ForwardCall {
    /** Lowest priority that is sent to engines. */
    private static final int LOWEST_PRIORITY = 9;

    private final long ticket;
    private final ForwardHead head;
    private final RouteRule route;
    private final Optional<AccountRule> account;
    private ServiceName service;
    private final Admission admission;
    private final Set<ServerId> triedServers = new HashSet<>();
    private final Set<String> triedHelpers = new HashSet<>();
    private State state = new State.Waiting();
    private int attempts;
    private int possibleRuns;
    private boolean callerDisconnected;
    private Optional<StreamOrigin> origin = Optional.empty();
    private int lastAttemptWithEvents;
    private boolean originDoubtful;
    private boolean refunded;

    /**
     * Times and cost that are fixed when a request is admitted. Immutable.
     *
     * @param arrivedNanos when the request had been read completely
     * @param deadlineNanos the caller's deadline or the end of the route's timeout, whichever is earlier
     * @param cost tokens, or 1 for a request, charged to the account's limit
     */
    public record Admission(long arrivedNanos, long deadlineNanos, double cost) {}

    /** Progress of a request. */
    public sealed interface State {
        /** No attempt is running. */
        record Waiting() implements State {}

        /** The caller takes a stream up, and it is not known yet which software version began it. */
        record AwaitingOrigin() implements State {}

        /**
         * An attempt is running on a server.
         *
         * @param startEpochMillis start of the server according to its report when the attempt was sent
         * @param version software version of the server according to that report
         * @param uncachedTokens prompt tokens that the server is expected to process because it has not cached them
         * @param answerStartedNanos when the answer began to be passed to the caller; empty if it has not begun
         */
        record Running(
                ServerId server,
                long startEpochMillis,
                ServerVersion version,
                int attempt,
                long uncachedTokens,
                long sentNanos,
                OptionalLong answerStartedNanos)
                implements State {
            /** Returns this state with the time at which the answer began. */
            Running withAnswerStarted(long nowNanos) {
                return new Running(
                        server,
                        startEpochMillis,
                        version,
                        attempt,
                        uncachedTokens,
                        sentNanos,
                        OptionalLong.of(nowNanos));
            }

            /** Returns whether the answer is being passed to the caller. */
            public boolean answerStarted() {
                return answerStartedNanos.isPresent();
            }
        }

        /** The request has ended for the caller; its last attempt is being cancelled. */
        record Cancelling(Running stopped) implements State {}

        /**
         * Another entry daemon serves the request.
         *
         * @param helper address of that daemon
         * @param answerStarted whether the answer is being passed to the caller
         */
        record HandedOver(String helper, int attempt, boolean answerStarted) implements State {}

        /** The request has ended for the caller; the other entry daemon is being told. */
        record CancellingHandover(int attempt) implements State {}
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

    /** Returns the ticket: a number that identifies the request within this daemon. */
    public long ticket() {
        return ticket;
    }

    public ForwardHead head() {
        return head;
    }

    /** Returns the route that was in force on arrival. */
    public RouteRule route() {
        return route;
    }

    /** Returns the account of the caller's key; empty if the caller sent no key of a known account. */
    public Optional<AccountRule> account() {
        return account;
    }

    /**
     * Returns the service of the stream that the caller takes up, or else the one that was drawn by the weights of the
     * route's traffic split on arrival.
     */
    public ServiceName service() {
        return service;
    }

    public Admission admission() {
        return admission;
    }

    public State state() {
        return state;
    }

    void setState(State newState) {
        state = newState;
    }

    /** Returns the servers to which an attempt was sent. */
    public Set<ServerId> triedServers() {
        return triedServers;
    }

    /** Returns the number of attempts started so far. */
    public int attempts() {
        return attempts;
    }

    int nextAttempt(ServerId server) {
        triedServers.add(server);
        attempts++;
        return attempts;
    }

    /** Returns the addresses of entry daemons to which the request was handed over. */
    Set<String> triedHelpers() {
        return triedHelpers;
    }

    /** Returns whether another entry daemon serves the request. */
    public boolean isHandedOver() {
        return state instanceof State.HandedOver || state instanceof State.CancellingHandover;
    }

    int nextHandover(String helper) {
        triedHelpers.add(helper);
        attempts++;
        return attempts;
    }

    /** Marks the charge to the limit of the account as given back; returns false if it was before. */
    boolean markRefunded() {
        boolean first = !refunded;
        refunded = true;
        return first;
    }

    /** Returns the number of attempts that may have run on a server. */
    public int possibleRuns() {
        return possibleRuns;
    }

    void countPossibleRun() {
        possibleRuns++;
    }

    /** Returns whether the caller closed its connection. */
    public boolean callerDisconnected() {
        return callerDisconnected;
    }

    void setCallerDisconnected() {
        callerDisconnected = true;
    }

    /**
     * Returns where the stream began that the caller has events of; empty before the first event, and if it is doubtful
     * which software version sent events of it.
     */
    public Optional<StreamOrigin> origin() {
        return originDoubtful ? Optional.empty() : origin;
    }

    /** Returns whether the caller has events whose software version cannot be told. Such a stream goes on nowhere. */
    public boolean originDoubtful() {
        return originDoubtful;
    }

    void setOriginDoubtful() {
        originDoubtful = true;
    }

    /** Returns the attempt that brought the first event of the stream, as the caller names it when it takes the stream up. */
    public String firstAttempt() {
        return head().takeUp().flatMap(ForwardHead.TakeUp::firstAttempt).orElse(head().requestId());
    }

    /** Returns whether this attempt has brought events of the stream. */
    boolean hasEventsOf(int attempt) {
        return lastAttemptWithEvents == attempt;
    }

    void recordEventsOf(int attempt) {
        lastAttemptWithEvents = attempt;
    }

    /** Records where the stream began. Has no effect if that is recorded already: a stream has one origin. */
    void recordOrigin(StreamOrigin began) {
        if (origin.isEmpty()) {
            origin = Optional.of(began);
            service = began.service();
        }
    }

    /** Returns the priority of the account, or else of the route; 0 is the most urgent. */
    public int effectivePriority() {
        long declared = account.filter(rule -> rule.priority().isPresent())
                .map(rule -> rule.priority().getAsLong())
                .orElse(route.priority());
        return (int) Math.max(0, Math.min(LOWEST_PRIORITY, declared));
    }

    /** Returns the time until the deadline in milliseconds, at least 0. */
    public long remainingMillis(long nowNanos) {
        return Math.max(0, (admission.deadlineNanos() - nowNanos) / 1_000_000);
    }
}
