package org.plantainwharf.origin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServiceName;

/**
 * A question to the control daemons and the requests that wait for its answer. Owned by the control thread.
 *
 * <p>All requests that share a question name the same attempt: what is true of an attempt when the first of them asks is
 * true for the others. A request that names none shares its question with no other, because its stream may have begun
 * after that question was answered.
 */
final class OriginLookup {
    private final Question question;
    private final long startedNanos;
    private final List<Long> tickets = new ArrayList<>();
    private final Set<HostId> unanswered = new HashSet<>();
    private OptionalLong leaderRepliedNanos = OptionalLong.empty();

    /** What is asked, as the replies repeat it. */
    record Question(String attempt, ServiceName service) {}

    OriginLookup(Question question, long startedNanos) {
        this.question = question;
        this.startedNanos = startedNanos;
    }

    Question question() {
        return question;
    }

    long startedNanos() {
        return startedNanos;
    }

    List<Long> tickets() {
        return tickets;
    }

    void recordAsked(HostId peer) {
        unanswered.add(peer);
    }

    /** Records that a peer has no record or is gone. Returns whether it was asked. */
    boolean recordNothingKnown(HostId peer) {
        return unanswered.remove(peer);
    }

    void recordLeaderReply(long nowNanos) {
        if (leaderRepliedNanos.isEmpty()) {
            leaderRepliedNanos = OptionalLong.of(nowNanos);
        }
    }

    boolean leaderReplied() {
        return leaderRepliedNanos.isPresent();
    }

    /** Returns whether no record can be expected any more. */
    boolean isOver(long nowNanos, long afterLeaderNanos, long withoutLeaderNanos) {
        if (leaderReplied()) {
            return unanswered.isEmpty() || nowNanos - leaderRepliedNanos.getAsLong() >= afterLeaderNanos;
        }
        return nowNanos - startedNanos >= withoutLeaderNanos;
    }
}
