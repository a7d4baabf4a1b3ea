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
 * Replicated records that this host holds a copy of, and its own proposals about them. Written by the controllers of
 * this package. Owned by the control thread.
 */
public final class RecordSection {
    /** Attempts that are recognised when a leader hands them over again; it does so within seconds. */
    private static final int REMEMBERED_ATTEMPTS = 10_000;

    private final Map<Integer, RecordState> states = new TreeMap<>();
    private final Map<String, PendingProposal> pending = new LinkedHashMap<>();
    private final Set<RequestId> intents = new HashSet<>();
    private final Map<String, CallEvent.WorkAsked> asks = new LinkedHashMap<>();
    private final Map<RequestId, Long> assignNotBefore = new HashMap<>();
    private final Set<RequestId> assigning = new HashSet<>();
    private final List<PendingProposal.Repeatable> retries = new ArrayList<>();
    private final Map<String, Boolean> takenAttempts = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > REMEMBERED_ATTEMPTS;
        }
    };
    private long proposals;

    private RecordSection() {}

    /** Returns an empty section. */
    public static RecordSection create() {
        return new RecordSection();
    }

    /** Returns this host's copy of a record group's state, which the consensus controller applies commands to. */
    public RecordState state(int group) {
        return states.computeIfAbsent(group, number -> RecordState.create());
    }

    /** Says whether proposals must still be decided before this host may stop. */
    public boolean busy() {
        return !pending.isEmpty() || !retries.isEmpty();
    }

    Collection<RecordState> states() {
        return states.values();
    }

    String nextProposalId(String host, long incarnation) {
        proposals++;
        return "record/" + host + "/" + incarnation + "/" + proposals;
    }

    void await(String proposalId, PendingProposal proposal) {
        pending.put(proposalId, proposal);
    }

    Optional<PendingProposal> settle(String proposalId) {
        return Optional.ofNullable(pending.remove(proposalId));
    }

    /** Keeps a proposal that failed until the next tick: without a leader it fails again at once. */
    void retryLater(PendingProposal.Repeatable proposal) {
        retries.add(proposal);
    }

    List<PendingProposal.Repeatable> takeRetries() {
        List<PendingProposal.Repeatable> taken = List.copyOf(retries);
        retries.clear();
        return taken;
    }

    void intentProposed(RequestId request) {
        intents.add(request);
    }

    boolean forgetIntent(RequestId request) {
        return intents.remove(request);
    }

    void asked(String queryId, CallEvent.WorkAsked ask) {
        asks.put(queryId, ask);
    }

    Optional<CallEvent.WorkAsked> answered(String queryId) {
        return Optional.ofNullable(asks.remove(queryId));
    }

    /** Returns whether an attempt is handed to this host for the first time. */
    boolean takeAttempt(RequestId attemptRequest) {
        return takenAttempts.put(attemptRequest.value(), Boolean.TRUE) == null;
    }

    Set<RequestId> assigning() {
        return assigning;
    }

    Map<RequestId, Long> assignNotBefore() {
        return assignNotBefore;
    }
}
