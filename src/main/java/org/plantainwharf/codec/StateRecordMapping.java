package org.plantainwharf.codec;

import java.util.stream.Collectors;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.IdempotencyKey;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.wire.PeerProtocol;

/** Maps records of the replicated state to and from protobuf. Stateless and thread-safe. */
final class StateRecordMapping {
    private StateRecordMapping() {}

    static PeerProtocol.StateRecord encode(StateRecord state) {
        PeerProtocol.StateRecord.Builder wire = PeerProtocol.StateRecord.newBuilder();
        switch (state) {
            case StateRecord.SheetInForce sheet -> wire.setSheetInForce(SheetMapping.encode(sheet.sheet()));
            case StateRecord.AcceptedSheet accepted ->
                wire.setAcceptedSheet(ResultMapping.sheetVersion(accepted.version(), accepted.digest()));
            case StateRecord.Document document ->
                wire.setDocument(ValueMapping.encodeDocument(document.version(), document.content()));
            case StateRecord.Usage usage -> wire.setUsage(ValueMapping.encodeUsage(usage.window(), usage.requests()));
            case StateRecord.Fencing fencing ->
                wire.setFencing(PeerProtocol.Fencing.newBuilder()
                        .setNumber(fencing.number())
                        .setLeader(fencing.leader().value())
                        .setTerm(fencing.term()));
            case StateRecord.Crashes crashes ->
                wire.setCrashes(PeerProtocol.Crashes.newBuilder()
                        .setFingerprint(crashes.fingerprint().value())
                        .setCount(crashes.count())
                        .setLastMillis(crashes.lastMillis())
                        .addAllReportIds(ValueMapping.encodeNames(crashes.reportIds(), report -> report)));
            case StateRecord.Departed departed ->
                wire.setDeparted(ValueMapping.encode(departed.departure(), departed.wallClockMillis()));
            case StateRecord.ListedVersion listed ->
                wire.setListedVersion(OriginMapping.encode(listed.service(), listed.version()).toBuilder()
                        .setClosed(listed.closed()));
            case StateRecord.NewestRollout newest -> wire.setRollout(RolloutMapping.encode(newest.rollout()));
            case StateRecord.HostStart start ->
                wire.setHostStart(PeerProtocol.HostStart.newBuilder()
                        .setToken(start.token())
                        .setZone(start.zone().value())
                        .setHostClass(start.hostClass().value())
                        .setFinished(start.finished())
                        .setPlatformHost(start.platformHost()));
            case StateRecord.Order order -> wire.setOrder(encode(order));
            case StateRecord.Work work -> wire.setWork(encode(work));
        }
        return wire.build();
    }

    private static PeerProtocol.Order encode(StateRecord.Order order) {
        PeerProtocol.Order.Builder wire = PeerProtocol.Order.newBuilder()
                .setAccount(order.account().value())
                .setKey(order.key().value())
                .setContentDigest(order.contentDigest())
                .addAllReleasedRequests(
                        order.releasedRequests().stream().map(RequestId::value).toList())
                .setWallClockMillis(order.wallClockMillis());
        switch (order.state()) {
            case StateRecord.OrderState.Reserved reserved ->
                wire.setReserved(PeerProtocol.OrderReserved.newBuilder()
                        .setOwner(reserved.owner().value())
                        .setOwnerIncarnation(reserved.ownerIncarnation())
                        .setRequest(reserved.request().value()));
            case StateRecord.OrderState.Released released -> wire.setReleased(ValueMapping.NOTHING);
            case StateRecord.OrderState.Finished finished ->
                wire.setFinished(PeerProtocol.OrderFinished.newBuilder()
                        .setRequest(finished.request().value())
                        .setHttpStatus(finished.httpStatus())
                        .setAnswer(ValueMapping.encode(finished.answer())));
            case StateRecord.OrderState.Lost lost -> wire.setLost(lost.request().value());
            case StateRecord.OrderState.Expired expired -> wire.setExpired(ValueMapping.NOTHING);
        }
        return wire.build();
    }

    private static PeerProtocol.Work encode(StateRecord.Work work) {
        PeerProtocol.Work.Builder wire = PeerProtocol.Work.newBuilder()
                .setAccount(work.account().value())
                .setRequest(work.request().value())
                .setRank(work.rank().value())
                .setModel(ValueMapping.encode(work.model()))
                .setContent(ValueMapping.encode(work.content()))
                .setWallClockMillis(work.wallClockMillis());
        switch (work.state()) {
            case StateRecord.WorkState.Waiting waiting -> wire.setWaiting(waiting.attempt());
            case StateRecord.WorkState.Assigned assigned ->
                wire.setAssigned(PeerProtocol.WorkAssigned.newBuilder()
                        .setAttempt(assigned.attempt())
                        .setOwner(assigned.owner().value())
                        .setOwnerIncarnation(assigned.ownerIncarnation()));
            case StateRecord.WorkState.Finished finished ->
                wire.setFinished(PeerProtocol.WorkFinished.newBuilder()
                        .setAttempt(finished.attempt())
                        .setAnswer(PeerProtocol.WorkAnswer.newBuilder()
                                .setHttpStatus(finished.httpStatus())
                                .setAnswer(ValueMapping.encode(finished.answer()))
                                .setAnswerDigest(finished.answerDigest())));
        }
        return wire.build();
    }

    static StateRecord decode(PeerProtocol.StateRecord wire) {
        return switch (wire.getKindCase()) {
            case SHEET_IN_FORCE -> new StateRecord.SheetInForce(SheetMapping.decode(wire.getSheetInForce()));
            case ACCEPTED_SHEET ->
                new StateRecord.AcceptedSheet(
                        wire.getAcceptedSheet().getVersion(),
                        wire.getAcceptedSheet().getDigest());
            case DOCUMENT ->
                new StateRecord.Document(
                        wire.getDocument().getVersion(),
                        ValueMapping.decode(wire.getDocument().getContent()));
            case USAGE -> new StateRecord.Usage(wire.getUsage().getWindow(), ValueMapping.decodeUsage(wire.getUsage()));
            case FENCING ->
                new StateRecord.Fencing(
                        wire.getFencing().getNumber(),
                        HostId.of(wire.getFencing().getLeader()),
                        wire.getFencing().getTerm());
            case CRASHES ->
                new StateRecord.Crashes(
                        Fingerprint.of(wire.getCrashes().getFingerprint()),
                        wire.getCrashes().getCount(),
                        wire.getCrashes().getLastMillis(),
                        ValueMapping.decodeNames(wire.getCrashes().getReportIdsList(), report -> report));
            case DEPARTED ->
                new StateRecord.Departed(
                        ValueMapping.decode(wire.getDeparted()),
                        wire.getDeparted().getWallClockMillis());
            case LISTED_VERSION ->
                new StateRecord.ListedVersion(
                        ServiceName.of(wire.getListedVersion().getService()),
                        ServerVersion.of(wire.getListedVersion().getVersion()),
                        wire.getListedVersion().getClosed());
            case ROLLOUT -> new StateRecord.NewestRollout(RolloutMapping.decode(wire.getRollout()));
            case HOST_START -> decode(wire.getHostStart());
            case ORDER -> decode(wire.getOrder());
            case WORK -> decode(wire.getWork());
            case KIND_NOT_SET -> throw DecodingException.kindNotSet("state record", wire.getUnknownFields());
        };
    }

    private static StateRecord decode(PeerProtocol.HostStart wire) {
        return new StateRecord.HostStart(
                wire.getToken(),
                AvailabilityZone.of(wire.getZone()),
                HostClass.of(wire.getHostClass()),
                wire.getFinished(),
                wire.getPlatformHost());
    }

    private static StateRecord decode(PeerProtocol.Order wire) {
        StateRecord.OrderState state =
                switch (wire.getStateCase()) {
                    case RESERVED ->
                        new StateRecord.OrderState.Reserved(
                                HostId.of(wire.getReserved().getOwner()),
                                wire.getReserved().getOwnerIncarnation(),
                                RequestId.of(wire.getReserved().getRequest()));
                    case RELEASED -> new StateRecord.OrderState.Released();
                    case FINISHED ->
                        new StateRecord.OrderState.Finished(
                                RequestId.of(wire.getFinished().getRequest()),
                                wire.getFinished().getHttpStatus(),
                                ValueMapping.decode(wire.getFinished().getAnswer()));
                    case LOST -> new StateRecord.OrderState.Lost(RequestId.of(wire.getLost()));
                    case EXPIRED -> new StateRecord.OrderState.Expired();
                    case STATE_NOT_SET -> throw DecodingException.kindNotSet("order state", wire.getUnknownFields());
                };
        return new StateRecord.Order(
                AccountName.of(wire.getAccount()),
                IdempotencyKey.of(wire.getKey()),
                wire.getContentDigest(),
                state,
                wire.getReleasedRequestsList().stream().map(RequestId::of).collect(Collectors.toSet()),
                wire.getWallClockMillis());
    }

    private static StateRecord decode(PeerProtocol.Work wire) {
        StateRecord.WorkState state =
                switch (wire.getStateCase()) {
                    case WAITING -> new StateRecord.WorkState.Waiting(wire.getWaiting());
                    case ASSIGNED ->
                        new StateRecord.WorkState.Assigned(
                                wire.getAssigned().getAttempt(),
                                HostId.of(wire.getAssigned().getOwner()),
                                wire.getAssigned().getOwnerIncarnation());
                    case FINISHED ->
                        new StateRecord.WorkState.Finished(
                                wire.getFinished().getAttempt(),
                                wire.getFinished().getAnswer().getHttpStatus(),
                                ValueMapping.decode(
                                        wire.getFinished().getAnswer().getAnswer()),
                                wire.getFinished().getAnswer().getAnswerDigest());
                    case STATE_NOT_SET -> throw DecodingException.kindNotSet("work state", wire.getUnknownFields());
                };
        return new StateRecord.Work(
                AccountName.of(wire.getAccount()),
                RequestId.of(wire.getRequest()),
                RankName.of(wire.getRank()),
                ValueMapping.decode(wire.getModel()),
                ValueMapping.decode(wire.getContent()),
                state,
                wire.getWallClockMillis());
    }
}
