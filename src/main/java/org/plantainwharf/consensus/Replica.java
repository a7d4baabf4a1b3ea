package org.plantainwharf.consensus;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

/**
 * A member of one replicated log that stores the log on its disk. It votes and acknowledges entries only while its
 * identity is in the voter configuration and no write has failed. A message that depends on a term, vote or entries is
 * sent only after these are synced.
 *
 * <p>An empty group of configured hosts is bootstrapped once: the host with the smallest name requests the votes of all
 * configured hosts in term 1 and needs every one of them. Each host gives this vote to one identity only, so a
 * bootstrap host that loses its disk cannot bootstrap the group again. The first entry lists the identities that voted.
 * A host with an empty disk has no configuration and therefore does not vote in a bootstrapped group.
 *
 * <p>Deterministic; not thread-safe.
 */
public final class Replica implements GroupMember {
    private static final long BOOTSTRAP_TERM = 1;

    private final ReplicaState state;
    private final FollowerLog followerLog;
    private final StreamSource streamSource;
    private Role role = new Role.Follower();
    private long lastJoinRequestNanos;

    private Replica(ReplicaState state, long nowNanos) {
        this.state = state;
        this.followerLog = FollowerLog.create(state);
        this.streamSource = StreamSource.create(state);
        this.lastJoinRequestNanos = nowNanos - state.options().streamRenewalNanos();
    }

    /**
     * Returns the replica of a group with the content recovered from its disk.
     *
     * @param self this host and its disk's incarnation, not 0
     * @param bootstrapHosts hosts that bootstrap the group by a vote if it is empty
     * @param random source of election timeouts
     */
    public static Replica recover(
            int group,
            VoterId self,
            List<HostId> bootstrapHosts,
            ReplicaOptions options,
            RecoveredGroup recovered,
            RandomGenerator random,
            long nowNanos) {
        return recover(group, self, LogHosts.configured(bootstrapHosts), options, recovered, random, nowNanos);
    }

    /**
     * Returns the replica of a group with the content recovered from its disk. Hosts may be added to {@code hosts}
     * later.
     */
    public static Replica recover(
            int group,
            VoterId self,
            LogHosts hosts,
            ReplicaOptions options,
            RecoveredGroup recovered,
            RandomGenerator random,
            long nowNanos) {
        return new Replica(ReplicaState.recover(group, self, hosts, options, recovered, random, nowNanos), nowNanos);
    }

    @Override
    public ReplicaOutput step(ReplicaInput input, long nowNanos) {
        ReplicaOutput output = ReplicaOutput.create();
        switch (input) {
            case ReplicaInput.Received received -> receive(received.message(), nowNanos, output);
            // The leader's heartbeats do not wait for its large messages.
            case ReplicaInput.ContentProgressed progressed -> {}
            case ReplicaInput.Proposed proposed -> propose(proposed.command(), output);
            case ReplicaInput.WriteSynced synced -> {
                state.writes().synced(synced.writeNumber(), output);
                onSynced(nowNanos, output);
            }
            case ReplicaInput.WriteFailed failed -> {
                state.writes().fail();
                becomeFollower();
                state.clearLeader();
                output.count("consensus.write_failed");
            }
            case ReplicaInput.SnapshotTaken taken -> takeSnapshot(taken, output);
            case ReplicaInput.SnapshotSynced synced -> {
                state.writes().snapshotSynced(synced.lastIndex(), output);
                onSynced(nowNanos, output);
            }
            case ReplicaInput.Resigned resigned -> state.resign();
            case ReplicaInput.Ticked ticked -> tick(nowNanos, output);
        }
        transferLeadership(output);
        stepDownIfRemoved();
        streamSource.sendNewlyCommitted(nowNanos, output);
        state.deliverCommitted(output);
        state.writes().flush(output);
        return output;
    }

    @Override
    public GroupStatus status(long nowNanos) {
        long lease = Long.MIN_VALUE;
        long contact = state.lastLeaderContactNanos();
        boolean leading = false;
        if (role instanceof Leadership leadership) {
            leading = leadership.hasCommittedInTerm();
            lease = leadership.leaseUntilNanos(nowNanos);
            contact = leadership.majorityContactNanos(nowNanos);
        }
        return new GroupStatus(
                state.group(),
                state.leader(),
                leading,
                state.term(),
                state.commitIndex(),
                state.deliveredIndex(),
                lease,
                contact,
                state.voting());
    }

    /**
     * A leader's copy is complete until the newest heartbeat round that a majority answered was sent. A follower does
     * not know when the leader sent what arrives.
     */
    @Override
    public LogCopy copy(long nowNanos) {
        if (role instanceof Leadership leadership && leadership.hasCommittedInTerm()) {
            long contactNanos = leadership.majorityContactNanos(nowNanos);
            if (contactNanos != Long.MIN_VALUE) {
                return new LogCopy.CompleteUntil(contactNanos);
            }
        }
        return new LogCopy.Unconfirmed();
    }

    /** Returns the voters after the newest change in the log, committed or not. */
    public Set<VoterId> voters() {
        return state.configuration().voters();
    }

    /**
     * Returns learners with a disk that have synced the log up to the commit index; empty unless this replica leads.
     */
    public Set<VoterId> caughtUpLearners() {
        return role instanceof Leadership leadership ? leadership.caughtUpLearners() : Set.of();
    }

    /** Returns the index of the last log entry, which may be neither synced nor committed; 0 for an empty log. */
    public long lastIndex() {
        return state.log().lastIndex();
    }

    /** Returns whether the entries applied since the newest snapshot are so large that the next one is due. */
    public boolean snapshotDueBySize() {
        return state.log()
                .exceedsSnapshotSize(state.deliveredIndex(), state.options().logBounds());
    }

    /** Returns the last index covered by the newest snapshot, 0 for none. */
    public long snapshotIndex() {
        return state.log().snapshot().lastIndex();
    }

    private void receive(ReplicaMessage message, long nowNanos, ReplicaOutput output) {
        switch (message) {
            case ReplicaMessage.PreVoteRequest request -> answerPreVote(request, nowNanos, output);
            case ReplicaMessage.PreVoteAnswer answer ->
                onVoteAnswer(
                        Election.Kind.PRE_VOTE, answer.term(), answer.sender(), answer.granted(), nowNanos, output);
            case ReplicaMessage.VoteRequest request -> answerVote(request, nowNanos, output);
            case ReplicaMessage.VoteAnswer answer ->
                onVoteAnswer(Election.Kind.VOTE, answer.term(), answer.sender(), answer.granted(), nowNanos, output);
            case ReplicaMessage.AppendRequest request -> {
                // Round 0 marks messages of the stream to learners without a disk. Their sender may be a follower, so
                // they do not count as contact with a leader.
                if (request.round() > 0 && acceptLeader(request, request.round(), nowNanos, output)) {
                    followerLog.append(request, output);
                }
            }
            case ReplicaMessage.SnapshotChunk chunk -> {
                // Round 0: a chunk for a learner without a disk, as above.
                if (chunk.round() > 0 && acceptLeader(chunk, chunk.round(), nowNanos, output)) {
                    followerLog.receiveChunk(chunk, output);
                }
            }
            case ReplicaMessage.AppendAnswer answer -> {
                if (roleForAnswer(answer) instanceof Leadership leadership) {
                    leadership.onAppendAnswer(answer, nowNanos, output);
                }
            }
            case ReplicaMessage.SnapshotAnswer answer -> {
                if (!answer.sender().hasDisk()) {
                    streamSource.onChunkReceived(answer, output);
                } else if (roleForAnswer(answer) instanceof Leadership leadership) {
                    leadership.onSnapshotAnswer(answer, nowNanos, output);
                }
            }
            case ReplicaMessage.LeadershipTransfer transfer -> {
                if (transfer.term() == state.term() && state.voting() && !state.resigned()) {
                    startElection(true, nowNanos, output);
                }
            }
            case ReplicaMessage.StreamRequest request -> onStreamRequest(request, nowNanos, output);
        }
    }

    /**
     * Handles a request for committed entries. From a host with a disk it asks the leader to replicate to that host as
     * a learner, which may become a voter. From a host without a disk it asks for a stream of committed entries, which
     * followers serve as well.
     */
    private void onStreamRequest(ReplicaMessage.StreamRequest request, long nowNanos, ReplicaOutput output) {
        boolean leadsWithMajority = role instanceof Leadership leadership && !leadership.lostMajority(nowNanos);
        if (request.sender().hasDisk()) {
            if (role instanceof Leadership leadership && !state.configuration().includes(request.sender())) {
                leadership.addLearner(request.sender(), nowNanos, output);
            }
        } else if (leadsWithMajority
                || request.afterIndex() != StreamSource.STATUS_ONLY
                        && !(role instanceof Leadership)
                        && state.leader().isPresent()
                        && nowNanos - state.lastLeaderContactNanos()
                                < state.options().sourceTimeoutNanos()) {
            // A replica that has lost contact with the leader or, as leader, with the majority does not answer, so that
            // its learners switch to another source. Requests for the status only are answered by the leader alone.
            streamSource.onRequest(request.sender(), request.afterIndex(), nowNanos, output);
        }
    }

    private void propose(Command command, ReplicaOutput output) {
        if (role instanceof Leadership leadership) {
            leadership.propose(command, output);
        } else {
            output.refuse(ProposalRefusal.NOT_LEADING);
        }
    }

    private void takeSnapshot(ReplicaInput.SnapshotTaken taken, ReplicaOutput output) {
        long index = state.deliveredIndex();
        if (index <= snapshotIndex()) {
            return;
        }
        ReplicaSnapshot snapshot =
                new ReplicaSnapshot(index, state.log().term(index), state.log().votersAt(index), taken.records());
        long keepFrom = state.log().firstRetainedIndex(index, state.options().logBounds());
        state.log().compact(snapshot, keepFrom);
        if (!state.writes().failed()) {
            output.write(new StorageEffect.WriteSnapshot(
                    state.group(), index, snapshot.lastTerm(), snapshot.voters(), snapshot.records(), keepFrom));
        }
    }

    private void onSynced(long nowNanos, ReplicaOutput output) {
        switch (role) {
            case Leadership leadership -> leadership.advanceCommit(output);
            case Election election -> {
                if (election.kind() != Election.Kind.PRE_VOTE
                        && state.writes().termAndVoteSynced()
                        && state.writes().vote().equals(state.self().text())) {
                    election.recordGrant(state.self());
                    concludeIfWon(election, nowNanos, output);
                }
            }
            case Role.Follower follower -> {}
        }
    }

    private void tick(long nowNanos, ReplicaOutput output) {
        if (role instanceof Leadership leadership) {
            if (leadership.lostMajority(nowNanos)) {
                output.count("consensus.leaders_without_majority");
                becomeFollower();
                state.clearLeader();
                state.resetElectionTimer(nowNanos);
            } else {
                leadership.tick(nowNanos, output);
            }
            return;
        }
        if (state.leader().isPresent()
                && nowNanos - state.lastLeaderContactNanos() > state.options().electionMaximumNanos()) {
            state.clearLeader();
        }
        if (!state.configuration().includes(state.self())) {
            joinGroup(nowNanos, output);
        } else if (state.electionTimedOut(nowNanos) && state.voting() && !state.resigned()) {
            startPreVote(nowNanos, output);
        }
    }

    /** Bootstraps an empty group if this host may, and requests the log from the other hosts. */
    private void joinGroup(long nowNanos, ReplicaOutput output) {
        if (nowNanos - lastJoinRequestNanos < state.options().streamRenewalNanos()
                || state.writes().failed()) {
            return;
        }
        lastJoinRequestNanos = nowNanos;
        boolean mayBootstrap = state.bootstrapsByVote()
                && !state.configuration().bootstrapped()
                && state.term() <= BOOTSTRAP_TERM
                && state.bootstrapHost().equals(state.self().host())
                && (state.writes().vote().isEmpty()
                        || state.writes().vote().equals(state.self().text()));
        if (mayBootstrap) {
            startBootstrap(output);
        }
        Set<HostId> hosts = new LinkedHashSet<>(state.bootstrapHosts());
        state.configuration().members().forEach(voter -> hosts.add(voter.host()));
        hosts.remove(state.self().host());
        hosts.forEach(host ->
                output.send(host, new ReplicaMessage.StreamRequest(state.term(), state.self(), state.commitIndex())));
    }

    private void startPreVote(long nowNanos, ReplicaOutput output) {
        output.count("consensus.pre_votes_started");
        Election election = Election.begin(Election.Kind.PRE_VOTE, state.term() + 1);
        role = election;
        state.resetElectionTimer(nowNanos);
        state.clearLeader();
        election.recordGrant(state.self());
        ReplicaLog log = state.log();
        sendToVoters(
                new ReplicaMessage.PreVoteRequest(election.term(), state.self(), log.lastIndex(), log.lastTerm()),
                output);
        concludeIfWon(election, nowNanos, output);
    }

    private void startBootstrap(ReplicaOutput output) {
        Election election = Election.begin(Election.Kind.BOOTSTRAP, BOOTSTRAP_TERM);
        role = election;
        if (state.writes().vote().isEmpty()) {
            state.writes().setTermAndVote(BOOTSTRAP_TERM, state.self().text());
        } else if (state.writes().termAndVoteSynced()) {
            election.recordGrant(state.self());
        }
        for (HostId host : state.bootstrapHosts()) {
            if (!host.equals(state.self().host())) {
                state.writes()
                        .send(host, new ReplicaMessage.VoteRequest(BOOTSTRAP_TERM, state.self(), 0, 0, false), output);
            }
        }
    }

    /** Increments the term, votes for itself and requests the votes of the others once this is synced. */
    private void startElection(boolean transfer, long nowNanos, ReplicaOutput output) {
        output.count("consensus.elections_started");
        state.resetElectionTimer(nowNanos);
        state.clearLeader();
        state.writes().setTermAndVote(state.term() + 1, state.self().text());
        role = Election.begin(Election.Kind.VOTE, state.term());
        sendToVoters(
                new ReplicaMessage.VoteRequest(
                        state.term(),
                        state.self(),
                        state.log().lastIndex(),
                        state.log().lastTerm(),
                        transfer),
                output);
    }

    private void sendToVoters(ReplicaMessage message, ReplicaOutput output) {
        for (VoterId voter : state.configuration().members()) {
            if (!voter.host().equals(state.self().host())) {
                state.writes().send(voter.host(), message, output);
            }
        }
    }

    private void answerPreVote(ReplicaMessage.PreVoteRequest request, long nowNanos, ReplicaOutput output) {
        if (!state.voting()) {
            return;
        }
        boolean granted = request.term() > state.term()
                && state.isUpToDate(request.lastIndex(), request.lastTerm())
                && !leaderMayHoldLease(nowNanos);
        state.writes()
                .send(
                        request.sender().host(),
                        new ReplicaMessage.PreVoteAnswer(
                                granted ? request.term() : state.term(), state.self(), granted),
                        output);
    }

    private void answerVote(ReplicaMessage.VoteRequest request, long nowNanos, ReplicaOutput output) {
        if (!state.configuration().bootstrapped()) {
            answerBootstrapVote(request, output);
            return;
        }
        // Dropped without an answer and without adopting the term: requests to a replica that does not vote, and
        // requests while a leader may hold a lease that relies on this vote. A leadership transfer is exempt, because
        // the leader that starts it has given up its lease.
        if (!state.voting() || request.term() > state.term() && leaderMayHoldLease(nowNanos) && !request.transfer()) {
            return;
        }
        if (request.term() > state.term()) {
            advanceTerm(request.term());
        }
        boolean granted = request.term() == state.term()
                && (state.writes().vote().isEmpty()
                        || state.writes().vote().equals(request.sender().text()))
                && state.isUpToDate(request.lastIndex(), request.lastTerm());
        if (granted) {
            state.resetElectionTimer(nowNanos);
        }
        if (granted && state.writes().vote().isEmpty()) {
            state.writes().setTermAndVote(state.term(), request.sender().text());
        }
        state.writes()
                .send(
                        request.sender().host(),
                        new ReplicaMessage.VoteAnswer(state.term(), state.self(), granted),
                        output);
    }

    private void answerBootstrapVote(ReplicaMessage.VoteRequest request, ReplicaOutput output) {
        String vote = state.writes().vote();
        boolean granted = request.term() == BOOTSTRAP_TERM
                && request.lastIndex() == 0
                && state.term() <= BOOTSTRAP_TERM
                && request.sender().host().equals(state.bootstrapHost())
                && (vote.isEmpty() || vote.equals(request.sender().text()));
        if (granted) {
            if (vote.isEmpty()) {
                state.writes().setTermAndVote(BOOTSTRAP_TERM, request.sender().text());
            }
            state.writes()
                    .send(
                            request.sender().host(),
                            new ReplicaMessage.VoteAnswer(BOOTSTRAP_TERM, state.self(), true),
                            output);
        }
    }

    /** Returns true if a leader may still hold a lease that relies on this voter. */
    private boolean leaderMayHoldLease(long nowNanos) {
        return role instanceof Leadership leadership
                ? !leadership.lostMajority(nowNanos)
                : state.hadRecentLeaderContact(nowNanos);
    }

    private void onVoteAnswer(
            Election.Kind kind, long term, VoterId voter, boolean granted, long nowNanos, ReplicaOutput output) {
        if (!granted) {
            if (term > state.term()) {
                advanceTerm(term);
            }
            return;
        }
        boolean preVote = kind == Election.Kind.PRE_VOTE;
        if (role instanceof Election election
                && election.term() == term
                && (election.kind() == Election.Kind.PRE_VOTE) == preVote) {
            election.recordGrant(voter);
            concludeIfWon(election, nowNanos, output);
        }
    }

    private void concludeIfWon(Election election, long nowNanos, ReplicaOutput output) {
        if (election.kind() == Election.Kind.BOOTSTRAP) {
            if (election.grantedIdentities().size() == state.bootstrapHosts().size()) {
                becomeLeader(new Command.ChangeVoters(election.grantedIdentities()), nowNanos, output);
            }
        } else if (election.won(state.configuration())) {
            if (election.kind() == Election.Kind.PRE_VOTE) {
                startElection(false, nowNanos, output);
            } else {
                becomeLeader(new Command.NoOperation(), nowNanos, output);
            }
        }
    }

    private void becomeLeader(Command first, long nowNanos, ReplicaOutput output) {
        output.count("consensus.elections_won");
        state.recordLeaderContact(state.self().host(), nowNanos);
        role = Leadership.begin(state, first, nowNanos, output);
    }

    private void becomeFollower() {
        role = new Role.Follower();
    }

    private void advanceTerm(long term) {
        state.writes().setTermAndVote(term, "");
        state.clearLeader();
        becomeFollower();
    }

    /**
     * Follows the sender and returns true, or rejects the message and returns false if its term is outdated.
     *
     * @param round number of the message's heartbeat round, greater than 0
     */
    private boolean acceptLeader(ReplicaMessage message, long round, long nowNanos, ReplicaOutput output) {
        if (message.term() < state.term()) {
            state.writes()
                    .send(
                            message.sender().host(),
                            new ReplicaMessage.AppendAnswer(state.term(), state.self(), false, 0, round),
                            output);
            return false;
        }
        if (message.term() > state.term()) {
            advanceTerm(message.term());
        }
        becomeFollower();
        state.recordLeaderContact(message.sender().host(), nowNanos);
        return true;
    }

    /**
     * Returns the current role if the answer belongs to the current term, else the follower role. An answer with a
     * higher term ends any leadership.
     */
    private Role roleForAnswer(ReplicaMessage answer) {
        if (answer.term() > state.term()) {
            advanceTerm(answer.term());
        }
        return answer.term() == state.term() ? role : new Role.Follower();
    }

    /**
     * After a resignation, transfers leadership to a voter with the full log. This leader's lease ends with the step
     * and is never renewed in the term.
     */
    private void transferLeadership(ReplicaOutput output) {
        if (state.resigned() && role instanceof Leadership leadership) {
            leadership.transferTarget().ifPresent(successor -> {
                output.count("consensus.leaderships_handed_over");
                becomeFollower();
                state.clearLeader();
                state.writes()
                        .send(
                                successor.host(),
                                new ReplicaMessage.LeadershipTransfer(state.term(), state.self()),
                                output);
            });
        }
    }

    private void stepDownIfRemoved() {
        if (role instanceof Leadership leadership
                && leadership.hasCommittedInTerm()
                && !state.configuration().includes(state.self())) {
            becomeFollower();
            state.clearLeader();
        }
    }
}
