package org.plantainwharf.consensus;

import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

/**
 * Leader role of a replica for one term: replicates entries and snapshots, advances the commit index and computes the
 * lease. At most one message with entries or snapshot records per member is unanswered, apart from heartbeats: each
 * heartbeat round sends the unacknowledged entries or records again, so a lost message delays replication to the member
 * by at most one heartbeat interval. Large ones are repeated in each {@link #LARGE_REPEAT_ROUNDS}th round only, and the
 * rounds between send plain heartbeats, which a transfer under way does not delay. Owned by one replica.
 */
final class Leadership implements Role {
    /** Rounds after which unanswered large content is sent again. */
    private static final int LARGE_REPEAT_ROUNDS = 4;

    private final ReplicaState state;
    private final Map<VoterId, Progress> progress = new LinkedHashMap<>();
    private final TreeMap<Long, Long> roundSendNanos = new TreeMap<>();
    private final long termFirstIndex;
    private final long startedNanos;
    private long round;
    private long lastRoundNanos;

    private Leadership(ReplicaState state, long nowNanos) {
        this.state = state;
        this.termFirstIndex = state.log().lastIndex() + 1;
        this.startedNanos = nowNanos;
    }

    /** Starts leading a term and appends {@code first}, whose commit also commits all entries of earlier terms. */
    static Leadership begin(ReplicaState state, Command first, long nowNanos, ReplicaOutput output) {
        Leadership leadership = new Leadership(state, nowNanos);
        leadership.append(first);
        leadership.startHeartbeatRound(nowNanos, output);
        return leadership;
    }

    /** Returns true once an entry of this term is committed, so that all earlier committed entries are known. */
    boolean hasCommittedInTerm() {
        return state.commitIndex() >= termFirstIndex;
    }

    /** Returns the end of the lease, or {@code Long.MIN_VALUE} before a majority answered a heartbeat round. */
    long leaseUntilNanos(long nowNanos) {
        long contact = majorityContactNanos(nowNanos);
        return contact == Long.MIN_VALUE ? contact : contact + state.options().leaseNanos();
    }

    /** Returns the send time of the newest heartbeat round that a majority answered, or {@code Long.MIN_VALUE}. */
    long majorityContactNanos(long nowNanos) {
        return state.configuration().quorumValue(voter -> {
            @Nullable Progress memberProgress = progress.get(voter);
            return voter.equals(state.self())
                    ? nowNanos
                    : memberProgress == null ? Long.MIN_VALUE : memberProgress.answeredRoundSentNanos();
        });
    }

    /** Returns true if no majority has answered for longer than the lease duration. */
    boolean lostMajority(long nowNanos) {
        long contact = Math.max(startedNanos, majorityContactNanos(nowNanos));
        return nowNanos - contact > state.options().leaseNanos();
    }

    /** Returns members with a disk that are not voters and have synced the log up to the commit index. */
    Set<VoterId> caughtUpLearners() {
        Set<VoterId> learners = new LinkedHashSet<>(progress.keySet());
        learners.removeAll(state.configuration().members());
        learners.removeIf(learner -> !caughtUp(learner));
        return learners;
    }

    void tick(long nowNanos, ReplicaOutput output) {
        Set<VoterId> members = state.configuration().members();
        progress.entrySet()
                .removeIf(entry -> !members.contains(entry.getKey())
                        && nowNanos - entry.getValue().lastContactNanos()
                                > 2 * state.options().sourceTimeoutNanos());
        if (nowNanos - lastRoundNanos >= state.options().heartbeatNanos()) {
            startHeartbeatRound(nowNanos, output);
        }
    }

    /** Starts or continues replication to a learner with a disk, which may become a voter. */
    void addLearner(VoterId learner, long nowNanos, ReplicaOutput output) {
        Progress learnerProgress = progress.get(learner);
        if (learnerProgress == null) {
            learnerProgress = Progress.create(state.log().lastIndex() + 1, nowNanos);
            progress.put(learner, learnerProgress);
            send(learner, learnerProgress, output);
        }
        learnerProgress.recordContact(nowNanos);
    }

    void propose(Command command, ReplicaOutput output) {
        Optional<ProposalRefusal> refusal = refusal(command);
        if (refusal.isPresent()) {
            output.refuse(refusal.get());
            return;
        }
        output.setAppendedIndex(append(command));
        sendUpdates(output);
        advanceCommit(output);
    }

    void onAppendAnswer(ReplicaMessage.AppendAnswer answer, long nowNanos, ReplicaOutput output) {
        @Nullable Progress memberProgress = recordAnswer(answer.sender(), answer.round(), nowNanos);
        if (memberProgress == null) {
            // The sender's identity is not tracked yet. This happens when a host has lost its disk: it receives the
            // messages meant for its former identity and answers them under its new one.
            addLearner(answer.sender(), nowNanos, output);
        } else if (answer.accepted()) {
            memberProgress.recordMatch(answer.matchIndex());
            advanceCommit(output);
            sendUpdates(output);
        } else if (memberProgress.backtrack(answer.matchIndex())) {
            send(answer.sender(), memberProgress, output);
        }
    }

    void onSnapshotAnswer(ReplicaMessage.SnapshotAnswer answer, long nowNanos, ReplicaOutput output) {
        @Nullable Progress memberProgress = recordAnswer(answer.sender(), answer.round(), nowNanos);
        if (memberProgress != null
                && answer.lastIndex() == state.log().snapshot().lastIndex()) {
            memberProgress.recordSnapshotProgress(answer.lastIndex(), answer.received());
            send(answer.sender(), memberProgress, output);
        }
    }

    /**
     * Commits the entries that a majority has synced. Entries of earlier terms are committed only together with an
     * entry of this term.
     */
    void advanceCommit(ReplicaOutput output) {
        long agreed = state.configuration().quorumValue(this::matchIndex);
        if (agreed > state.commitIndex() && state.log().term(agreed) == state.term()) {
            state.commitUpTo(agreed);
            sendUpdates(output);
        }
        confirmChange(output);
    }

    /**
     * Appends the confirming entry of a committed voter change once the added voter has synced the change. When the
     * confirming entry is committed, every voter knows that it votes, so the group survives the loss of another disk.
     */
    private void confirmChange(ReplicaOutput output) {
        VoterConfiguration current = state.configuration();
        if (hasCommittedInTerm()
                && current.changeIndex() <= state.commitIndex()
                && !state.log().newestChangeConfirmed()
                && state.log().addedByNewestChange().stream()
                        .allMatch(voter -> matchIndex(voter) >= current.changeIndex())) {
            append(new Command.ChangeVoters(current.voters()));
            sendUpdates(output);
        }
    }

    private long append(Command command) {
        long index = state.log().lastIndex() + 1;
        state.append(ReplicaEntry.of(index, state.term(), command));
        return index;
    }

    /** Returns the voter with the full log that answered most recently, if there is one besides this replica. */
    Optional<VoterId> transferTarget() {
        return state.configuration().voters().stream()
                .filter(voter -> !voter.equals(state.self()))
                .filter(voter -> matchIndex(voter) == state.log().lastIndex())
                .max(Comparator.comparingLong(voter -> answeredRoundSentNanos(voter)));
    }

    private long answeredRoundSentNanos(VoterId voter) {
        @Nullable Progress memberProgress = progress.get(voter);
        return memberProgress == null ? Long.MIN_VALUE : memberProgress.answeredRoundSentNanos();
    }

    private long matchIndex(VoterId voter) {
        if (voter.equals(state.self())) {
            return state.writes().syncedIndex();
        }
        @Nullable Progress memberProgress = progress.get(voter);
        return memberProgress == null ? 0 : memberProgress.matchIndex();
    }

    private boolean caughtUp(VoterId voter) {
        return voter.hasDisk() && matchIndex(voter) >= state.commitIndex();
    }

    private Optional<ProposalRefusal> refusal(Command command) {
        if (state.resigned()) {
            return Optional.of(ProposalRefusal.RESIGNING);
        } else if (state.unsettledBytes() > state.options().logBounds().unsettledBytes()) {
            return Optional.of(ProposalRefusal.LOG_FULL);
        }
        return command instanceof Command.ChangeVoters change ? changeRefusal(change.voters()) : Optional.empty();
    }

    private Optional<ProposalRefusal> changeRefusal(Set<VoterId> next) {
        VoterConfiguration current = state.configuration();
        Set<VoterId> added = new HashSet<>(next);
        added.removeAll(current.voters());
        Set<VoterId> removed = new HashSet<>(current.voters());
        removed.removeAll(next);
        // A change that removes the voter added last does not wait for it, because that voter may be lost already.
        boolean awaitsConfirmation = !state.log().newestChangeConfirmed()
                && state.log().addedByNewestChange().stream().noneMatch(removed::contains);
        if (!hasCommittedInTerm()) {
            return Optional.of(ProposalRefusal.TERM_NOT_COMMITTED);
        } else if (current.changeIndex() > state.commitIndex() || awaitsConfirmation) {
            return Optional.of(ProposalRefusal.CHANGE_IN_PROGRESS);
        } else if (next.isEmpty() || added.size() > 1 || removed.size() > 1) {
            return Optional.of(ProposalRefusal.CHANGE_TOO_LARGE);
        } else if (!added.stream().allMatch(this::caughtUp)) {
            return Optional.of(ProposalRefusal.NOT_CAUGHT_UP);
        }
        return Optional.empty();
    }

    private @Nullable Progress recordAnswer(VoterId sender, long answeredRound, long nowNanos) {
        @Nullable Progress memberProgress = progress.get(sender);
        if (memberProgress != null) {
            memberProgress.recordContact(nowNanos);
            @Nullable Long sendNanos = roundSendNanos.get(answeredRound);
            if (sendNanos != null) {
                memberProgress.recordAnsweredRound(sendNanos);
            }
        }
        return memberProgress;
    }

    private void startHeartbeatRound(long nowNanos, ReplicaOutput output) {
        round++;
        lastRoundNanos = nowNanos;
        roundSendNanos.put(round, nowNanos);
        roundSendNanos
                .values()
                .removeIf(sent -> nowNanos - sent > state.options().leaseNanos());
        for (VoterId voter : state.configuration().members()) {
            // An earlier identity of this host no longer answers.
            if (!voter.host().equals(state.self().host())) {
                progress.computeIfAbsent(
                        voter, absent -> Progress.create(state.log().lastIndex() + 1, nowNanos));
            }
        }
        progress.forEach((voter, memberProgress) -> {
            long largeContentRound = memberProgress.largeContentRound();
            if (largeContentRound > 0 && round - largeContentRound < LARGE_REPEAT_ROUNDS) {
                sendHeartbeat(voter, memberProgress, output);
            } else {
                send(voter, memberProgress, output);
            }
        });
    }

    /** Sends a message without entries after the last one that the member is known to have. */
    private void sendHeartbeat(VoterId member, Progress memberProgress, ReplicaOutput output) {
        long known = memberProgress.matchIndex();
        long knownTerm = state.log().term(known);
        // A member without the entries before the log begins at the empty state, which every log has in common.
        boolean compacted = knownTerm == ReplicaLog.UNKNOWN_TERM;
        output.send(
                member.host(),
                new ReplicaMessage.AppendRequest(
                        state.term(),
                        state.self(),
                        compacted ? 0 : known,
                        compacted ? 0 : knownTerm,
                        List.of(),
                        state.commitIndex(),
                        round));
        memberProgress.recordHeartbeat(state.commitIndex());
    }

    private void sendUpdates(ReplicaOutput output) {
        progress.forEach((voter, memberProgress) -> {
            boolean hasUpdates = memberProgress.nextIndex() <= state.log().lastIndex()
                    || memberProgress.sentCommitIndex() < state.commitIndex();
            if (hasUpdates && !memberProgress.inFlight()) {
                send(voter, memberProgress, output);
            }
        });
    }

    private void send(VoterId member, Progress memberProgress, ReplicaOutput output) {
        // The bootstrap entry must be synced first: a bootstrap host that crashed before the sync may bootstrap again
        // in the same term.
        if (state.writes().syncedIndex() < 1) {
            return;
        }
        ReplicaLog log = state.log();
        long previous = memberProgress.nextIndex() - 1;
        long previousTerm = log.term(previous);
        if (previousTerm == ReplicaLog.UNKNOWN_TERM) {
            ReplicaSnapshot snapshot = log.snapshot();
            ReplicaMessage.SnapshotChunk chunk = SnapshotChunks.chunkFrom(
                    snapshot,
                    memberProgress.snapshotOffset(snapshot.lastIndex()),
                    state.term(),
                    state.self(),
                    round,
                    state.options().messageBytes());
            output.send(member.host(), chunk);
            memberProgress.recordContent(snapshot.lastIndex(), MessageSizes.isLarge(chunk), round, state.commitIndex());
            return;
        }
        ReplicaMessage.AppendRequest request = new ReplicaMessage.AppendRequest(
                state.term(),
                state.self(),
                previous,
                previousTerm,
                log.slice(
                        memberProgress.nextIndex(),
                        log.lastIndex(),
                        state.options().messageBytes()),
                state.commitIndex(),
                round);
        output.send(member.host(), request);
        if (request.entries().isEmpty()) {
            memberProgress.recordHeartbeat(state.commitIndex());
        } else {
            memberProgress.recordContent(
                    request.entries().getLast().index(),
                    request.entries().stream().anyMatch(entry -> MessageSizes.isLarge(entry.command())),
                    round,
                    state.commitIndex());
        }
    }
}
