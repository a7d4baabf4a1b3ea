package org.plantainwharf.codec;

import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.wire.PeerProtocol;

/** Maps messages and entries of the replicated logs to and from protobuf. Stateless and thread-safe. */
final class ReplicaMapping {
    private ReplicaMapping() {}

    static PeerProtocol.LogEntry encode(ReplicaEntry entry) {
        return PeerProtocol.LogEntry.newBuilder()
                .setIndex(entry.index())
                .setTerm(entry.term())
                .setCommand(CommandMapping.encode(entry.command()))
                .build();
    }

    static ReplicaEntry decode(PeerProtocol.LogEntry wire) {
        return ReplicaEntry.of(wire.getIndex(), wire.getTerm(), CommandMapping.decode(wire.getCommand()));
    }

    static PeerProtocol.ReplicaMessage encode(ReplicaMessage message) {
        PeerProtocol.ReplicaMessage.Builder wire = PeerProtocol.ReplicaMessage.newBuilder()
                .setTerm(message.term())
                .setSender(ValueMapping.encode(message.sender()));
        switch (message) {
            case ReplicaMessage.PreVoteRequest request ->
                wire.setPreVoteRequest(candidacy(request.lastIndex(), request.lastTerm(), false));
            case ReplicaMessage.PreVoteAnswer answer -> wire.setPreVoteAnswer(vote(answer.granted()));
            case ReplicaMessage.VoteRequest request ->
                wire.setVoteRequest(candidacy(request.lastIndex(), request.lastTerm(), request.transfer()));
            case ReplicaMessage.VoteAnswer answer -> wire.setVoteAnswer(vote(answer.granted()));
            case ReplicaMessage.AppendRequest append ->
                wire.setAppendRequest(PeerProtocol.AppendRequest.newBuilder()
                        .setPreviousIndex(append.previousIndex())
                        .setPreviousTerm(append.previousTerm())
                        .addAllEntries(append.entries().stream()
                                .map(ReplicaMapping::encode)
                                .toList())
                        .setCommitIndex(append.commitIndex())
                        .setRound(append.round()));
            case ReplicaMessage.AppendAnswer answer ->
                wire.setAppendAnswer(PeerProtocol.AppendAnswer.newBuilder()
                        .setAccepted(answer.accepted())
                        .setMatchIndex(answer.matchIndex())
                        .setRound(answer.round()));
            case ReplicaMessage.SnapshotChunk chunk ->
                wire.setSnapshotChunk(PeerProtocol.SnapshotChunk.newBuilder()
                        .setLastIndex(chunk.lastIndex())
                        .setLastTerm(chunk.lastTerm())
                        .addAllVoters(ValueMapping.encodeVoters(chunk.voters()))
                        .setOffset(chunk.offset())
                        .addAllRecords(chunk.records().stream()
                                .map(StateRecordMapping::encode)
                                .toList())
                        .setLast(chunk.last())
                        .setRound(chunk.round()));
            case ReplicaMessage.SnapshotAnswer answer ->
                wire.setSnapshotAnswer(PeerProtocol.SnapshotAnswer.newBuilder()
                        .setLastIndex(answer.lastIndex())
                        .setReceived(answer.received())
                        .setRound(answer.round()));
            case ReplicaMessage.LeadershipTransfer transfer -> wire.setLeadershipTransfer(ValueMapping.NOTHING);
            case ReplicaMessage.StreamRequest request ->
                wire.setStreamRequest(PeerProtocol.StreamRequest.newBuilder().setAfterIndex(request.afterIndex()));
        }
        return wire.build();
    }

    private static PeerProtocol.Candidacy candidacy(long lastIndex, long lastTerm, boolean transfer) {
        return PeerProtocol.Candidacy.newBuilder()
                .setLastIndex(lastIndex)
                .setLastTerm(lastTerm)
                .setTransfer(transfer)
                .build();
    }

    private static PeerProtocol.Vote vote(boolean granted) {
        return PeerProtocol.Vote.newBuilder().setGranted(granted).build();
    }

    static ReplicaMessage decode(PeerProtocol.ReplicaMessage wire) {
        long term = wire.getTerm();
        VoterId sender = ValueMapping.decode(wire.getSender());
        return switch (wire.getKindCase()) {
            case PRE_VOTE_REQUEST ->
                new ReplicaMessage.PreVoteRequest(
                        term,
                        sender,
                        wire.getPreVoteRequest().getLastIndex(),
                        wire.getPreVoteRequest().getLastTerm());
            case PRE_VOTE_ANSWER ->
                new ReplicaMessage.PreVoteAnswer(
                        term, sender, wire.getPreVoteAnswer().getGranted());
            case VOTE_REQUEST ->
                new ReplicaMessage.VoteRequest(
                        term,
                        sender,
                        wire.getVoteRequest().getLastIndex(),
                        wire.getVoteRequest().getLastTerm(),
                        wire.getVoteRequest().getTransfer());
            case VOTE_ANSWER ->
                new ReplicaMessage.VoteAnswer(term, sender, wire.getVoteAnswer().getGranted());
            case APPEND_REQUEST -> decode(term, sender, wire.getAppendRequest());
            case APPEND_ANSWER ->
                new ReplicaMessage.AppendAnswer(
                        term,
                        sender,
                        wire.getAppendAnswer().getAccepted(),
                        wire.getAppendAnswer().getMatchIndex(),
                        wire.getAppendAnswer().getRound());
            case SNAPSHOT_CHUNK -> decode(term, sender, wire.getSnapshotChunk());
            case SNAPSHOT_ANSWER ->
                new ReplicaMessage.SnapshotAnswer(
                        term,
                        sender,
                        wire.getSnapshotAnswer().getLastIndex(),
                        wire.getSnapshotAnswer().getReceived(),
                        wire.getSnapshotAnswer().getRound());
            case STREAM_REQUEST ->
                new ReplicaMessage.StreamRequest(
                        term, sender, wire.getStreamRequest().getAfterIndex());
            case LEADERSHIP_TRANSFER -> new ReplicaMessage.LeadershipTransfer(term, sender);
            case KIND_NOT_SET -> throw DecodingException.kindNotSet("replica message", wire.getUnknownFields());
        };
    }

    private static ReplicaMessage decode(long term, VoterId sender, PeerProtocol.AppendRequest wire) {
        return new ReplicaMessage.AppendRequest(
                term,
                sender,
                wire.getPreviousIndex(),
                wire.getPreviousTerm(),
                wire.getEntriesList().stream().map(ReplicaMapping::decode).toList(),
                wire.getCommitIndex(),
                wire.getRound());
    }

    private static ReplicaMessage decode(long term, VoterId sender, PeerProtocol.SnapshotChunk wire) {
        return new ReplicaMessage.SnapshotChunk(
                term,
                sender,
                wire.getLastIndex(),
                wire.getLastTerm(),
                ValueMapping.decodeVoters(wire.getVotersList()),
                wire.getOffset(),
                wire.getRecordsList().stream().map(StateRecordMapping::decode).toList(),
                wire.getLast(),
                wire.getRound());
    }
}
