package org.plantainwharf.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.call.Call;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RequestId;

/**
 * Queued calls by destination, rank and client account, and the admitted calls that have not ended. Only the
 * controllers of this package modify it. Owned by the control thread.
 */
public final class AdmissionSection {
    private final Map<Destination, DestinationQueue> destinations = new LinkedHashMap<>();
    private final Map<RankName, Integer> queuedByRank = new HashMap<>();
    private final Map<RankAccount, Integer> queuedByAccount = new HashMap<>();
    private final Set<RequestId> queuedRequests = new HashSet<>();
    private final Map<RequestId, Admitted> admitted = new HashMap<>();

    private AdmissionSection() {}

    /** Returns an empty section. */
    public static AdmissionSection create() {
        return new AdmissionSection();
    }

    /** Returns the number of queued calls of a rank. */
    public int queued(RankName rank) {
        return queuedByRank.getOrDefault(rank, 0);
    }

    /** Returns the number of queued calls of a rank and account. */
    public int queued(RankName rank, AccountName account) {
        return queuedByAccount.getOrDefault(new RankAccount(rank, account), 0);
    }

    /** Returns the number of queued calls of all ranks. */
    public int queued() {
        return destinations.values().stream().mapToInt(DestinationQueue::size).sum();
    }

    /** Returns the number of admitted calls that have not ended. */
    public int admitted() {
        return admitted.size();
    }

    /**
     * Returns the number of calls that this host may have admitted for a destination, by the latest estimate; 0 without
     * one.
     */
    public double window(Destination destination) {
        return Optional.ofNullable(destinations.get(destination))
                .map(queue -> queue.capacity().window())
                .orElse(0.0);
    }

    DestinationQueue destination(Destination destination) {
        return destinations.computeIfAbsent(destination, DestinationQueue::create);
    }

    Collection<DestinationQueue> destinations() {
        return destinations.values();
    }

    boolean isQueued(RequestId request) {
        return queuedRequests.contains(request);
    }

    void countAdded(Call call, DestinationQueue destination) {
        queuedRequests.add(call.id());
        countQueued(call, destination, 1);
    }

    void countRemoved(Call call, DestinationQueue destination) {
        queuedRequests.remove(call.id());
        countQueued(call, destination, -1);
    }

    private void countQueued(Call call, DestinationQueue destination, int difference) {
        destination.countQueued(difference);
        queuedByRank.merge(call.rank(), difference, AdmissionSection::sumOrNull);
        queuedByAccount.merge(new RankAccount(call.rank(), call.account()), difference, AdmissionSection::sumOrNull);
    }

    @Nullable
    Admitted admitted(RequestId request) {
        return admitted.get(request);
    }

    void putAdmitted(RequestId request, Admitted value) {
        admitted.put(request, value);
    }

    @Nullable
    Admitted removeAdmitted(RequestId request) {
        return admitted.remove(request);
    }

    private static @Nullable Integer sumOrNull(int first, int second) {
        int sum = first + second;
        return sum == 0 ? null : sum;
    }

    /** An admitted call, which holds capacity until it ends. */
    record Admitted(Destination destination, RankName rank, long sinceNanos) {}

    private record RankAccount(RankName rank, AccountName account) {}
}
