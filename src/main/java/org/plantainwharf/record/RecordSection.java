package org.plantainwharf.record;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.plantainwharf.event.CallEvent;
import org.plantainwharf.identity.RequestId;

/**
 * This host's copies of the record groups' state, and its pending proposals and queries. Written by the controllers of
 * this package. Owned by the control thread.
 */
public final class RecordSection {
    /** Number of attempts recognised when a leader sends their assignment again, which it does within seconds. */
    private static final int MAXIMUM_REMEMBERED_ATTEMPTS = 10_000;

    private final Map<Integer, RecordState> states = new TreeMap<>();
    private final Map<String, PendingProposal> pending = new LinkedHashMap<>();
    private final Set<RequestId> openIntents = new HashSet<>();
    private final Map<String, CallEvent.WorkAsked> queries = new LinkedHashMap<>();
    private final Map<RequestId, Long> earliestAssignmentNanos = new HashMap<>();
    private final Set<RequestId> pendingAssignments = new HashSet<>();
    private final List<PendingProposal.Retryable> retries = new ArrayList<>();
    private final Map<String, Boolean> startedAttempts = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAXIMUM_REMEMBERED_ATTEMPTS;
        }
    };
    private long proposalCount;

    private RecordSection() {}

    /** Returns an empty section. */
    public static RecordSection create() {
        return new RecordSection();
    }

    /** Returns this host's copy of a record group's state. The consensus controller applies commands to it. */
    public RecordState state(int group) {
        return states.computeIfAbsent(group, number -> RecordState.create());
    }

    /** Returns whether proposals are pending that must be decided before this host may stop. */
    public boolean hasUnsettledProposals() {
        return !pending.isEmpty() || !retries.isEmpty();
    }

    Collection<RecordState> states() {
        return states.values();
    }

    String nextProposalId(String host, long incarnation) {
        proposalCount++;
        return "record/" + host + "/" + incarnation + "/" + proposalCount;
    }

    void addPending(String proposalId, PendingProposal proposal) {
        pending.put(proposalId, proposal);
    }

    Optional<PendingProposal> removePending(String proposalId) {
        return Optional.ofNullable(pending.remove(proposalId));
    }

    /** Schedules a failed proposal for the next tick. Without a leader, an immediate retry would fail at once. */
    void addRetry(PendingProposal.Retryable proposal) {
        retries.add(proposal);
    }

    List<PendingProposal.Retryable> takeRetries() {
        List<PendingProposal.Retryable> taken = List.copyOf(retries);
        retries.clear();
        return taken;
    }

    void addIntent(RequestId request) {
        openIntents.add(request);
    }

    boolean removeIntent(RequestId request) {
        return openIntents.remove(request);
    }

    void addQuery(String queryId, CallEvent.WorkAsked ask) {
        queries.put(queryId, ask);
    }

    Optional<CallEvent.WorkAsked> removeQuery(String queryId) {
        return Optional.ofNullable(queries.remove(queryId));
    }

    /** Records that an attempt was started and returns whether that is the first time. */
    boolean markAttemptStarted(RequestId attemptRequest) {
        return startedAttempts.put(attemptRequest.value(), Boolean.TRUE) == null;
    }

    Set<RequestId> pendingAssignments() {
        return pendingAssignments;
    }

    Map<RequestId, Long> earliestAssignmentNanos() {
        return earliestAssignmentNanos;
    }
}
