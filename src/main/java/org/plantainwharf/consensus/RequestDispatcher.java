package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.identity.HostId;

/**
 * Sends the requests of this host's controllers to the group leaders. A request goes to the known leader, which may be
 * this host, is resent with the same id if no answer arrives, and ends with exactly one result or failure event. Owned
 * by the consensus controller.
 */
final class RequestDispatcher {
    /** Time from the submission of a request to its failure if no result arrives. */
    static final long REQUEST_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);
    /**
     * Time without an answer after which a request is sent again. Longer than a commit usually takes, so that few
     * requests are sent twice, and short enough for several attempts before the timeout.
     */
    private static final long RESEND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private static final int MAXIMUM_REDIRECTS = 4;

    private final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
    private final Map<Integer, HostId> knownLeaders = new HashMap<>();
    private final Map<Integer, GroupDriver> drivers;
    private final LogHosts hosts;
    private int roundRobinIndex;

    private record TrackedRequest(PendingRequest request, long deadlineNanos, long nextSendNanos, int redirects) {}

    private RequestDispatcher(Map<Integer, GroupDriver> drivers, LogHosts hosts) {
        this.drivers = drivers;
        this.hosts = hosts;
    }

    static RequestDispatcher create(Map<Integer, GroupDriver> drivers, LogHosts hosts) {
        return new RequestDispatcher(drivers, hosts);
    }

    /** Sends a request. Does nothing if a request with the same id is in flight. */
    void submit(PendingRequest request, Board board, long nowNanos, Effects effects) {
        if (!requests.containsKey(request.id())) {
            TrackedRequest tracked =
                    new TrackedRequest(request, nowNanos + REQUEST_TIMEOUT_NANOS, nowNanos + RESEND_INTERVAL_NANOS, 0);
            requests.put(request.id(), tracked);
            dispatch(request, board, nowNanos, effects);
        }
    }

    /** Ends a request whose result has been posted. */
    void complete(String id) {
        @Nullable TrackedRequest tracked = requests.remove(id);
        if (tracked != null) {
            abandon(tracked.request());
        }
    }

    /** Handles a result from the leader on another host: posts it if the request is in flight. */
    void onResult(String id, HostId leader, ReplicationEvent result, Effects effects) {
        @Nullable TrackedRequest tracked = requests.get(id);
        if (tracked == null) {
            effects.count("consensus.answers_late");
            return;
        }
        knownLeaders.put(tracked.request().group(), leader);
        effects.post(result);
    }

    /**
     * Handles a rejection: resends the request to the leader given by the rejecting host, if any, up to
     * {@link #MAXIMUM_REDIRECTS} times. Otherwise the next resend goes to another host.
     */
    void onRejected(String id, HostId from, Optional<HostId> leader, Board board, long nowNanos, Effects effects) {
        @Nullable TrackedRequest tracked = requests.get(id);
        if (tracked == null) {
            return;
        }
        effects.count("consensus.requests_rejected");
        int group = tracked.request().group();
        if (from.equals(knownLeaders.get(group))) {
            knownLeaders.remove(group);
        }
        if (leader.isPresent() && !leader.get().equals(from) && tracked.redirects() < MAXIMUM_REDIRECTS) {
            knownLeaders.put(group, leader.get());
            requests.put(
                    id,
                    new TrackedRequest(
                            tracked.request(),
                            tracked.deadlineNanos(),
                            nowNanos + RESEND_INTERVAL_NANOS,
                            tracked.redirects() + 1));
            send(tracked.request(), leader.get(), board, nowNanos, effects);
        }
    }

    /** Resends requests whose answer is overdue and fails those that timed out. */
    void tick(Board board, long nowNanos, Effects effects) {
        for (TrackedRequest tracked : new ArrayList<>(requests.values())) {
            PendingRequest request = tracked.request();
            if (nowNanos - tracked.deadlineNanos() >= 0) {
                requests.remove(request.id());
                abandon(request);
                effects.count("consensus.requests_timed_out");
                effects.post(request.failureEvent(ErrorKind.NO_QUORUM));
            } else if (nowNanos - tracked.nextSendNanos() >= 0) {
                effects.count("consensus.requests_resent");
                requests.put(
                        request.id(),
                        new TrackedRequest(request, tracked.deadlineNanos(), nowNanos + RESEND_INTERVAL_NANOS, 0));
                knownLeaders.remove(request.group());
                dispatch(request, board, nowNanos, effects);
            }
        }
    }

    private void abandon(PendingRequest request) {
        @Nullable GroupDriver driver = drivers.get(request.group());
        if (driver != null) {
            driver.abandon(request.id());
        }
    }

    private void dispatch(PendingRequest request, Board board, long nowNanos, Effects effects) {
        HostId self = board.settings().host();
        Optional<HostId> leader = board.consensus().group(request.group()).leader();
        HostId target = leader.or(() -> Optional.ofNullable(knownLeaders.get(request.group())))
                .or(() -> nextRemoteHost(self))
                .orElse(self);
        send(request, target, board, nowNanos, effects);
    }

    private void send(PendingRequest request, HostId target, Board board, long nowNanos, Effects effects) {
        if (target.equals(board.settings().host())) {
            handleLocally(request, board, nowNanos, effects);
        } else {
            effects.add(new PeerEffect.SendToPeer(target, request.message()));
        }
    }

    private void handleLocally(PendingRequest request, Board board, long nowNanos, Effects effects) {
        @Nullable GroupDriver driver = drivers.get(request.group());
        if (driver == null) {
            return;
        }
        switch (request) {
            case PendingRequest.Proposal change ->
                driver.propose(change.id(), change.command(), Optional.empty(), board, nowNanos, effects);
            case PendingRequest.Read read ->
                driver.answer(read.query(), nowNanos)
                        .ifPresent(result -> effects.post(new ReplicationEvent.QueryAnswered(read.id(), result)));
        }
    }

    private Optional<HostId> nextRemoteHost(HostId self) {
        List<HostId> others =
                hosts.list().stream().filter(voter -> !voter.equals(self)).toList();
        if (others.isEmpty()) {
            return Optional.empty();
        }
        roundRobinIndex = (roundRobinIndex + 1) % others.size();
        return Optional.of(others.get(roundRobinIndex));
    }
}
