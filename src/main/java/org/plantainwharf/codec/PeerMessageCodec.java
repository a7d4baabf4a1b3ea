package org.plantainwharf.codec;

import java.util.Optional;

import io.vavr.control.Either;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.wire.PeerProtocol;

/**
 * Encodes and decodes whole messages between daemons; {@link FrameCodec} makes frames of them. Decoding reports
 * malformed input as a failure and never throws. Equal messages encode to equal bytes. Stateless and thread-safe.
 */
public final class PeerMessageCodec {
    private PeerMessageCodec() {}

    /** Returns a codec. */
    public static PeerMessageCodec create() {
        return new PeerMessageCodec();
    }

    /** Returns the bytes of the first frame of a link. */
    public byte[] encodeHello(Hello hello) {
        return PeerProtocol.Frame.newBuilder()
                .setHello(PeerProtocol.Hello.newBuilder()
                        .setProtocolVersion(hello.protocolVersion())
                        .setHost(hello.host().value())
                        .setZone(hello.zone().value())
                        .setIncarnation(hello.incarnation())
                        .addAllUnderstoodKinds(hello.understood().added()))
                .build()
                .toByteArray();
    }

    /** Returns the hello in a link's first frame, or {@link ErrorKind#FRAME_INVALID}. */
    public Either<Failure, Hello> decodeHello(byte[] bytes) {
        return Decoding.run(() -> {
            PeerProtocol.Frame frame = PeerProtocol.Frame.parseFrom(bytes);
            if (!frame.hasHello()) {
                throw new DecodingException("first frame of the link is not a hello");
            }
            PeerProtocol.Hello wire = frame.getHello();
            return new Hello(
                    wire.getProtocolVersion(),
                    HostId.of(wire.getHost()),
                    AvailabilityZone.of(wire.getZone()),
                    wire.getIncarnation(),
                    MessageKinds.named(wire.getUnderstoodKindsList()));
        });
    }

    /** Returns the bytes of a message, with all its contents. */
    public byte[] encode(PeerMessage message) {
        return toFrame(message).toByteArray();
    }

    PeerProtocol.Frame toFrame(PeerMessage message) {
        PeerProtocol.Frame.Builder frame = PeerProtocol.Frame.newBuilder();
        switch (message) {
            case PeerMessage.Heartbeat heartbeat ->
                frame.setHeartbeat(PeerProtocol.Heartbeat.newBuilder()
                        .setToken(heartbeat.token())
                        .setEchoedToken(heartbeat.echoedToken())
                        .setConfigurationVersion(heartbeat.configurationVersion())
                        .setDraining(heartbeat.draining()));
            case PeerMessage.ServerLeases leases ->
                frame.setServerLeases(PeerProtocol.ServerLeases.newBuilder()
                        .setEchoedToken(leases.echoedToken())
                        .addAllLeases(leases.leases().stream()
                                .map(AnnouncementMapping::encode)
                                .toList()));
            case PeerMessage.Replication replication ->
                frame.setReplication(PeerProtocol.Replication.newBuilder()
                        .setGroup(replication.group())
                        .setMessage(ReplicaMapping.encode(replication.message())));
            case PeerMessage.Propose propose ->
                frame.setPropose(PeerProtocol.Propose.newBuilder()
                        .setGroup(propose.group())
                        .setProposalId(propose.proposalId())
                        .setCommand(CommandMapping.encode(propose.command())));
            case PeerMessage.ProposeResponse decided ->
                frame.setProposeDecided(PeerProtocol.ProposeDecided.newBuilder()
                        .setProposalId(decided.proposalId())
                        .setResult(ResultMapping.encode(decided.result())));
            case PeerMessage.Rejected rejected -> frame.setRejected(encode(rejected));
            case PeerMessage.QueryRequest ask ->
                frame.setAsk(PeerProtocol.Ask.newBuilder()
                        .setGroup(ask.group())
                        .setQueryId(ask.queryId())
                        .setQuery(ResultMapping.encode(ask.query())));
            case PeerMessage.QueryResponse answer ->
                frame.setAnswer(PeerProtocol.Answer.newBuilder()
                        .setQueryId(answer.queryId())
                        .setResult(ResultMapping.encode(answer.result())));
            case PeerMessage.WorkAssigned assigned ->
                frame.setWorkAssigned(PeerProtocol.AssignedWork.newBuilder()
                        .setGroup(assigned.group())
                        .setWork(StateRecordMapping.encode(assigned.work())));
            case PeerMessage.WorkAcknowledged taken ->
                frame.setWorkTaken(PeerProtocol.WorkTaken.newBuilder()
                        .setGroup(taken.group())
                        .setRequest(taken.request().value())
                        .setAttempt(taken.attempt()));
            case PeerMessage.KnownPeers known -> frame.setKnownPeers(ReportMapping.encode(known));
            case PeerMessage.ServerReports news -> frame.setServerNews(ReportMapping.encode(news));
            case PeerMessage.UsageCounts usage ->
                frame.setUsageReport(ValueMapping.encodeUsage(usage.window(), usage.requests()));
            case PeerMessage.DemandReport report -> frame.setDemandReport(ReportMapping.encode(report));
            case PeerMessage.StreamOrigins origins -> frame.setStreamOrigins(OriginMapping.encode(origins));
            case PeerMessage.OriginQuestion question -> frame.setOriginQuestion(OriginMapping.encode(question));
            case PeerMessage.OriginReply reply -> frame.setOriginReply(OriginMapping.encode(reply));
            case PeerMessage.RolloutEvidence evidence -> frame.setRolloutEvidence(RolloutMapping.encode(evidence));
            case PeerMessage.ServerObservations seen -> frame.setServerObservations(ObservationMapping.encode(seen));
            case PeerMessage.KeptParts parts -> frame.setKeptParts(ObservationMapping.encode(parts));
            case PeerMessage.RoomReport report -> frame.setRoomReport(RoomMapping.encode(report));
            case PeerMessage.RoomGrant grant -> frame.setRoomGrant(RoomMapping.encode(grant));
            case PeerMessage.ReachReport report -> frame.setReachReport(ReportMapping.encode(report));
            case PeerMessage.Helpers helpers ->
                frame.setHelpers(PeerProtocol.Helpers.newBuilder().addAllAddresses(helpers.addresses()));
            case PeerMessage.LimitDemand demand ->
                frame.setLimitDemand(PeerProtocol.LimitDemand.newBuilder()
                        .addAllRates(ValueMapping.encodeRates(demand.requestsPerSecond())));
            case PeerMessage.LimitGrant grant ->
                frame.setLimitGrant(PeerProtocol.LimitGrant.newBuilder()
                        .setEchoedToken(grant.echoedToken())
                        .setValidMillis(grant.validMillis())
                        .addAllRates(ValueMapping.encodeRates(grant.requestsPerSecond())));
            case PeerMessage.AllowanceReport report -> frame.setAllowanceReport(AllowanceMapping.encode(report));
            case PeerMessage.AllowanceGrant grant -> frame.setAllowanceGrant(AllowanceMapping.encode(grant));
        }
        return frame.build();
    }

    private static PeerProtocol.Rejected encode(PeerMessage.Rejected rejected) {
        PeerProtocol.Rejected.Builder wire = PeerProtocol.Rejected.newBuilder()
                .setCorrelationId(rejected.correlationId())
                .setReason(rejected.reason().name());
        rejected.leader().ifPresent(leader -> wire.setLeader(leader.value()));
        return wire.build();
    }

    /**
     * Returns the message in a frame after the first, or {@link ErrorKind#FRAME_INVALID}. A hello is invalid here,
     * because a second hello could change the identity of a link.
     */
    public Either<Failure, PeerMessage> decode(byte[] bytes) {
        return Decoding.run(() -> {
            PeerProtocol.Frame frame = PeerProtocol.Frame.parseFrom(bytes);
            if (frame.getHasReferences()) {
                throw new DecodingException("message lacks contents");
            }
            return decodeFrame(frame);
        });
    }

    static PeerMessage decodeFrame(PeerProtocol.Frame frame) {
        return switch (frame.getKindCase()) {
            case HELLO -> throw new DecodingException("hello received after the first frame");
            case HEARTBEAT ->
                new PeerMessage.Heartbeat(
                        frame.getHeartbeat().getToken(),
                        frame.getHeartbeat().getEchoedToken(),
                        frame.getHeartbeat().getConfigurationVersion(),
                        frame.getHeartbeat().getDraining());
            case SERVER_LEASES ->
                new PeerMessage.ServerLeases(
                        frame.getServerLeases().getEchoedToken(),
                        frame.getServerLeases().getLeasesList().stream()
                                .map(AnnouncementMapping::decode)
                                .toList());
            case REPLICATION ->
                new PeerMessage.Replication(
                        frame.getReplication().getGroup(),
                        ReplicaMapping.decode(frame.getReplication().getMessage()));
            case PROPOSE ->
                new PeerMessage.Propose(
                        frame.getPropose().getGroup(),
                        frame.getPropose().getProposalId(),
                        CommandMapping.decode(frame.getPropose().getCommand()));
            case PROPOSE_DECIDED ->
                new PeerMessage.ProposeResponse(
                        frame.getProposeDecided().getProposalId(),
                        ResultMapping.decode(frame.getProposeDecided().getResult()));
            case REJECTED ->
                new PeerMessage.Rejected(
                        frame.getRejected().getCorrelationId(),
                        decodeReason(frame.getRejected().getReason()),
                        frame.getRejected().hasLeader()
                                ? Optional.of(HostId.of(frame.getRejected().getLeader()))
                                : Optional.empty());
            case ASK ->
                new PeerMessage.QueryRequest(
                        frame.getAsk().getGroup(),
                        frame.getAsk().getQueryId(),
                        ResultMapping.decode(frame.getAsk().getQuery()));
            case ANSWER ->
                new PeerMessage.QueryResponse(
                        frame.getAnswer().getQueryId(),
                        ResultMapping.decode(frame.getAnswer().getResult()));
            case WORK_ASSIGNED -> decodeWorkAssigned(frame.getWorkAssigned());
            case WORK_TAKEN ->
                new PeerMessage.WorkAcknowledged(
                        frame.getWorkTaken().getGroup(),
                        RequestId.of(frame.getWorkTaken().getRequest()),
                        frame.getWorkTaken().getAttempt());
            case KNOWN_PEERS -> ReportMapping.decode(frame.getKnownPeers());
            case SERVER_NEWS -> ReportMapping.decode(frame.getServerNews());
            case USAGE_REPORT ->
                new PeerMessage.UsageCounts(
                        frame.getUsageReport().getWindow(), ValueMapping.decodeUsage(frame.getUsageReport()));
            case DEMAND_REPORT -> ReportMapping.decode(frame.getDemandReport());
            case LIMIT_DEMAND ->
                new PeerMessage.LimitDemand(
                        ValueMapping.decodeRates(frame.getLimitDemand().getRatesList()));
            case LIMIT_GRANT ->
                new PeerMessage.LimitGrant(
                        frame.getLimitGrant().getEchoedToken(),
                        frame.getLimitGrant().getValidMillis(),
                        ValueMapping.decodeRates(frame.getLimitGrant().getRatesList()));
            case ALLOWANCE_REPORT -> AllowanceMapping.decode(frame.getAllowanceReport());
            case ALLOWANCE_GRANT -> AllowanceMapping.decode(frame.getAllowanceGrant());
            case STREAM_ORIGINS -> OriginMapping.decode(frame.getStreamOrigins());
            case ORIGIN_QUESTION -> OriginMapping.decode(frame.getOriginQuestion());
            case ORIGIN_REPLY -> OriginMapping.decode(frame.getOriginReply());
            case ROLLOUT_EVIDENCE -> RolloutMapping.decode(frame.getRolloutEvidence());
            case SERVER_OBSERVATIONS -> ObservationMapping.decode(frame.getServerObservations());
            case KEPT_PARTS -> ObservationMapping.decode(frame.getKeptParts());
            case ROOM_REPORT -> RoomMapping.decode(frame.getRoomReport());
            case ROOM_GRANT -> RoomMapping.decode(frame.getRoomGrant());
            case REACH_REPORT -> ReportMapping.decode(frame.getReachReport());
            case HELPERS -> new PeerMessage.Helpers(frame.getHelpers().getAddressesList());
            case LARGE_MESSAGE, CONTENT_REQUEST, CONTENT_PART, CONTENT_UNAVAILABLE ->
                throw new DecodingException("frame is no whole message");
            case KIND_NOT_SET -> throw DecodingException.kindNotSet("message", frame.getUnknownFields());
        };
    }

    private static ErrorKind decodeReason(String name) {
        try {
            return ErrorKind.valueOf(name);
        } catch (IllegalArgumentException e) {
            throw new UnknownKindException("reason of a rejection is of an unknown kind");
        }
    }

    private static PeerMessage.WorkAssigned decodeWorkAssigned(PeerProtocol.AssignedWork wire) {
        if (StateRecordMapping.decode(wire.getWork()) instanceof StateRecord.Work work) {
            return new PeerMessage.WorkAssigned(wire.getGroup(), work);
        }
        throw new DecodingException("assigned state record is not a work record");
    }
}
