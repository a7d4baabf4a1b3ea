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
 * A member with disk of one replicated log. It votes and acknowledges only while its identity is in the configuration
 * and no write has failed; any message that tells of term, vote or entries leaves after these are synced.
 *
 * <p>An empty group is founded once: the founding host with the smallest name asks all founding hosts for their vote
 * in term 1, and needs every one of them. A founding host gives this vote to one identity only, so a founder that loses
 * its disk cannot found the group again. The first entry holds the identities that voted. A host whose disk is empty
 * knows no configuration, and so does not vote in a founded group.
 *
 * <p>Pure and used by one thread.
 */
public final class Replica implements GroupMember {
    private static final long FOUNDING_TERM = 1;

    private final ReplicaState state;
    private final FollowerLog followerLog;
    private final StreamSource stream;
    private Role role = new Role.Follower();
    private long lastAskedNanos;

    private Replica(ReplicaState state, long nowNanos) {
        this.state = state;
        this.followerLog = FollowerLog.create(state);
        this.stream = StreamSource.create(state);
        this.lastAskedNanos = nowNanos - state.options().renewNanos();
    }

    /**
     * Returns the replica of a group with what its disk holds.
     *
     * @param self this host and its disk's incarnation, not 0
     * @param founders hosts that are voters when the group is empty
     * @param random source of election timeouts
     */
    public static Replica recover(
            int group,
            VoterId self,
            List<HostId> founders,
            ReplicaOptions options,
            RecoveredGroup recovered,
            RandomGenerator random,
            long nowNanos) {
        return recover(group, self, LogHosts.configured(founders), options, recovered, random, nowNanos);
    }

    /** Returns the replica of a group with what its disk holds; {@code hosts} may grow later. */
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
            case ReplicaInput.Proposed proposed -> propose(proposed.command(), output);
            case ReplicaInput.WriteSynced synced -> {
                state.writes().synced(synced.writeNumber(), output);
                afterSync(nowNanos, output);
            }
            case ReplicaInput.WriteFailed failed -> {
                state.writes().fail();
                follow();
                state.forgetLeader();
                output.count("consensus.write_failed");
            }
            case ReplicaInput.SnapshotTaken taken -> takeSnapshot(taken, output);
            case ReplicaInput.SnapshotSynced synced -> {
                state.writes().snapshotSynced(synced.lastIndex(), output);
                afterSync(nowNanos, output);
            }
            case ReplicaInput.Resigned resigned -> state.resign();
            case ReplicaInput.Ticked ticked -> tick(nowNanos, output);
        }
        handOver(output);
        leaveIfRemoved();
        stream.publish(nowNanos, output);
        state.handOut(output);
        state.writes().flush(output);
        return output;
    }

    @Override
    public GroupStatus status(long nowNanos) {
        long lease = Long.MIN_VALUE;
        long contact = state.lastHeardNanos();
        boolean leading = false;
        if (role instanceof Leadership leadership) {
            leading = leadership.complete();
            lease = leadership.leaseUntilNanos(nowNanos);
            contact = leadership.majorityContactNanos(nowNanos);
        }
        return new GroupStatus(
                state.group(),
                state.leader(),
                leading,
                state.term(),
                state.commitIndex(),
                state.handedOutIndex(),
                lease,
                contact,
                state.voting());
    }

    /** Returns the voters that the newest change names, committed or not. */
    public Set<VoterId> voters() {
        return state.configuration().voters();
    }

    /** Returns identities that are caught up and synced but not voters; empty unless this replica leads. */
    public Set<VoterId> caughtUpLearners() {
        return role instanceof Leadership leadership ? leadership.caughtUpLearners() : Set.of();
    }

    /** Returns the last index of the log. */
    public long lastIndex() {
        return state.log().lastIndex();
    }

    /** Returns the last index that the newest snapshot contains. */
    public long snapshotIndex() {
        return state.log().snapshot().lastIndex();
    }

    private void receive(ReplicaMessage message, long nowNanos, ReplicaOutput output) {
        switch (message) {
            case ReplicaMessage.PreVoteRequest request -> answerPreVote(request, nowNanos, output);
            case ReplicaMessage.PreVoteAnswer answer ->
                onVote(Election.Kind.PRE_VOTE, answer.term(), answer.sender(), answer.granted(), nowNanos, output);
            case ReplicaMessage.VoteRequest request -> answerVote(request, nowNanos, output);
            case ReplicaMessage.VoteAnswer answer ->
                onVote(Election.Kind.VOTE, answer.term(), answer.sender(), answer.granted(), nowNanos, output);
            case ReplicaMessage.AppendRequest request -> {
                // Round 0 marks the stream to learners without disk, whose sender need not lead.
                if (request.round() > 0 && acceptLeader(request, request.round(), nowNanos, output)) {
                    followerLog.append(request, output);
                }
            }
            case ReplicaMessage.SnapshotChunk chunk -> {
                if (chunk.round() > 0 && acceptLeader(chunk, chunk.round(), nowNanos, output)) {
                    followerLog.receive(chunk, output);
                }
            }
            case ReplicaMessage.AppendAnswer answer -> {
                if (leadsIn(answer) instanceof Leadership leadership) {
                    leadership.onAppendAnswer(answer, nowNanos, output);
                }
            }
            case ReplicaMessage.SnapshotAnswer answer -> {
                if (!answer.sender().hasDisk()) {
                    stream.chunkReceived(answer, output);
                } else if (leadsIn(answer) instanceof Leadership leadership) {
                    leadership.onSnapshotAnswer(answer, nowNanos, output);
                }
            }
            case ReplicaMessage.LeadershipTransfer transfer -> {
                if (transfer.term() == state.term() && state.voting() && !state.resigned()) {
                    stand(true, nowNanos, output);
                }
            }
            case ReplicaMessage.StreamRequest request -> onStreamRequest(request, nowNanos, output);
        }
    }

    private void onStreamRequest(ReplicaMessage.StreamRequest request, long nowNanos, ReplicaOutput output) {
        boolean leading = role instanceof Leadership leadership && !leadership.lostMajority(nowNanos);
        if (request.sender().hasDisk()) {
            if (role instanceof Leadership leadership && !state.configuration().includes(request.sender())) {
                leadership.addLearner(request.sender(), nowNanos, output);
            }
        } else if (leading
                || request.afterIndex() != StreamSource.STATUS_ONLY
                        && !(role instanceof Leadership)
                        && state.leader().isPresent()
                        && nowNanos - state.lastHeardNanos() < state.options().silenceNanos()) {
            // A source that is cut off itself stays silent, so that its learners look for another.
            stream.request(request.sender(), request.afterIndex(), nowNanos, output);
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
        long index = state.handedOutIndex();
        if (index <= snapshotIndex()) {
            return;
        }
        ReplicaSnapshot snapshot =
                new ReplicaSnapshot(index, state.log().term(index), state.log().votersAt(index), taken.records());
        long keepFrom = Math.max(1, index - state.options().tailEntries() + 1);
        state.log().compact(snapshot, keepFrom);
        if (!state.writes().failed()) {
            output.write(new StorageEffect.WriteSnapshot(
                    state.group(), index, snapshot.lastTerm(), snapshot.voters(), snapshot.records(), keepFrom));
        }
    }

    private void afterSync(long nowNanos, ReplicaOutput output) {
        switch (role) {
            case Leadership leadership -> leadership.advanceCommit(output);
            case Election election -> {
                if (election.kind() != Election.Kind.PRE_VOTE
                        && state.writes().settled()
                        && state.writes().vote().equals(state.self().text())) {
                    election.grant(state.self());
                    conclude(election, nowNanos, output);
                }
            }
            case Role.Follower follower -> {}
        }
    }

    private void tick(long nowNanos, ReplicaOutput output) {
        if (role instanceof Leadership leadership) {
            if (leadership.lostMajority(nowNanos)) {
                output.count("consensus.leaders_without_majority");
                follow();
                state.forgetLeader();
                state.delayElection(nowNanos);
            } else {
                leadership.tick(nowNanos, output);
            }
            return;
        }
        if (state.leader().isPresent()
                && nowNanos - state.lastHeardNanos() > state.options().electionMaximumNanos()) {
            state.forgetLeader();
        }
        if (!state.configuration().includes(state.self())) {
            seekGroup(nowNanos, output);
        } else if (state.electionDue(nowNanos) && state.voting() && !state.resigned()) {
            beginPreVote(nowNanos, output);
        }
    }

    /** Founds an empty group, or asks the leader of a founded one for its log. */
    private void seekGroup(long nowNanos, ReplicaOutput output) {
        if (nowNanos - lastAskedNanos < state.options().renewNanos()
                || state.writes().failed()) {
            return;
        }
        lastAskedNanos = nowNanos;
        boolean mayFound = state.foundsByVote()
                && !state.configuration().founded()
                && state.term() <= FOUNDING_TERM
                && state.founder().equals(state.self().host())
                && (state.writes().vote().isEmpty()
                        || state.writes().vote().equals(state.self().text()));
        if (mayFound) {
            beginFounding(output);
        }
        Set<HostId> hosts = new LinkedHashSet<>(state.founders());
        state.configuration().members().forEach(voter -> hosts.add(voter.host()));
        hosts.remove(state.self().host());
        hosts.forEach(host ->
                output.send(host, new ReplicaMessage.StreamRequest(state.term(), state.self(), state.commitIndex())));
    }

    private void beginPreVote(long nowNanos, ReplicaOutput output) {
        output.count("consensus.pre_votes_started");
        Election election = Election.begin(Election.Kind.PRE_VOTE, state.term() + 1);
        role = election;
        state.delayElection(nowNanos);
        state.forgetLeader();
        election.grant(state.self());
        ReplicaLog log = state.log();
        toVoters(
                new ReplicaMessage.PreVoteRequest(election.term(), state.self(), log.lastIndex(), log.lastTerm()),
                output);
        conclude(election, nowNanos, output);
    }

    private void beginFounding(ReplicaOutput output) {
        Election election = Election.begin(Election.Kind.FOUNDING, FOUNDING_TERM);
        role = election;
        if (state.writes().vote().isEmpty()) {
            state.writes().enter(FOUNDING_TERM, state.self().text());
        } else if (state.writes().settled()) {
            election.grant(state.self());
        }
        for (HostId host : state.founders()) {
            if (!host.equals(state.self().host())) {
                state.writes()
                        .send(host, new ReplicaMessage.VoteRequest(FOUNDING_TERM, state.self(), 0, 0, false), output);
            }
        }
    }

    /** Raises the term, votes for itself and asks the others once this is synced. */
    private void stand(boolean transfer, long nowNanos, ReplicaOutput output) {
        output.count("consensus.elections_started");
        state.delayElection(nowNanos);
        state.forgetLeader();
        state.writes().enter(state.term() + 1, state.self().text());
        role = Election.begin(Election.Kind.VOTE, state.term());
        toVoters(
                new ReplicaMessage.VoteRequest(
                        state.term(),
                        state.self(),
                        state.log().lastIndex(),
                        state.log().lastTerm(),
                        transfer),
                output);
    }

    private void toVoters(ReplicaMessage message, ReplicaOutput output) {
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
                && state.upToDate(request.lastIndex(), request.lastTerm())
                && !refusesElections(nowNanos);
        state.writes()
                .send(
                        request.sender().host(),
                        new ReplicaMessage.PreVoteAnswer(
                                granted ? request.term() : state.term(), state.self(), granted),
                        output);
    }

    private void answerVote(ReplicaMessage.VoteRequest request, long nowNanos, ReplicaOutput output) {
        if (!state.configuration().founded()) {
            answerFounding(request, output);
            return;
        }
        if (!state.voting() || request.term() > state.term() && refusesElections(nowNanos) && !request.transfer()) {
            return;
        }
        if (request.term() > state.term()) {
            enterTerm(request.term());
        }
        boolean granted = request.term() == state.term()
                && (state.writes().vote().isEmpty()
                        || state.writes().vote().equals(request.sender().text()))
                && state.upToDate(request.lastIndex(), request.lastTerm());
        if (granted) {
            state.delayElection(nowNanos);
        }
        if (granted && state.writes().vote().isEmpty()) {
            state.writes().enter(state.term(), request.sender().text());
        }
        state.writes()
                .send(
                        request.sender().host(),
                        new ReplicaMessage.VoteAnswer(state.term(), state.self(), granted),
                        output);
    }

    private void answerFounding(ReplicaMessage.VoteRequest request, ReplicaOutput output) {
        String vote = state.writes().vote();
        boolean granted = request.term() == FOUNDING_TERM
                && request.lastIndex() == 0
                && state.term() <= FOUNDING_TERM
                && request.sender().host().equals(state.founder())
                && (vote.isEmpty() || vote.equals(request.sender().text()));
        if (granted) {
            if (vote.isEmpty()) {
                state.writes().enter(FOUNDING_TERM, request.sender().text());
            }
            state.writes()
                    .send(
                            request.sender().host(),
                            new ReplicaMessage.VoteAnswer(FOUNDING_TERM, state.self(), true),
                            output);
        }
    }

    /** Says whether a leader may still hold a lease that counts on this voter. */
    private boolean refusesElections(long nowNanos) {
        return role instanceof Leadership leadership
                ? !leadership.lostMajority(nowNanos)
                : state.heardLeaderRecently(nowNanos);
    }

    private void onVote(
            Election.Kind kind, long term, VoterId voter, boolean granted, long nowNanos, ReplicaOutput output) {
        if (!granted) {
            if (term > state.term()) {
                enterTerm(term);
            }
            return;
        }
        boolean preVote = kind == Election.Kind.PRE_VOTE;
        if (role instanceof Election election
                && election.term() == term
                && (election.kind() == Election.Kind.PRE_VOTE) == preVote) {
            election.grant(voter);
            conclude(election, nowNanos, output);
        }
    }

    private void conclude(Election election, long nowNanos, ReplicaOutput output) {
        if (election.kind() == Election.Kind.FOUNDING) {
            if (election.founders().size() == state.founders().size()) {
                lead(new Command.ChangeVoters(election.founders()), nowNanos, output);
            }
        } else if (election.won(state.configuration())) {
            if (election.kind() == Election.Kind.PRE_VOTE) {
                stand(false, nowNanos, output);
            } else {
                lead(new Command.NoOperation(), nowNanos, output);
            }
        }
    }

    private void lead(Command first, long nowNanos, ReplicaOutput output) {
        output.count("consensus.elections_won");
        state.hear(state.self().host(), nowNanos);
        role = Leadership.begin(state, first, nowNanos, output);
    }

    private void follow() {
        role = new Role.Follower();
    }

    private void enterTerm(long term) {
        state.writes().enter(term, "");
        state.forgetLeader();
        follow();
    }

    /** Follows the sender unless its term is over. */
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
            enterTerm(message.term());
        }
        follow();
        state.hear(message.sender().host(), nowNanos);
        return true;
    }

    /** Returns the role in which to take an answer; a higher term ends any leadership. */
    private Role leadsIn(ReplicaMessage answer) {
        if (answer.term() > state.term()) {
            enterTerm(answer.term());
        }
        return answer.term() == state.term() ? role : new Role.Follower();
    }

    /** Gives leadership to a voter with the whole log. The lease ends with this step and never comes back. */
    private void handOver(ReplicaOutput output) {
        if (state.resigned() && role instanceof Leadership leadership) {
            leadership.successor().ifPresent(successor -> {
                output.count("consensus.leaderships_handed_over");
                follow();
                state.forgetLeader();
                state.writes()
                        .send(
                                successor.host(),
                                new ReplicaMessage.LeadershipTransfer(state.term(), state.self()),
                                output);
            });
        }
    }

    private void leaveIfRemoved() {
        if (role instanceof Leadership leadership
                && leadership.complete()
                && !state.configuration().includes(state.self())) {
            follow();
            state.forgetLeader();
        }
    }
}
