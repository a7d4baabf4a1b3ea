package org.plantainwharf.codec;

import java.util.Comparator;
import java.util.Set;

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
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.wire.PeerProtocol;

/** Maps commands of the replicated logs to and from protobuf. Stateless and thread-safe. */
final class CommandMapping {
    private static final Comparator<VoterId> VOTER_ORDER =
            Comparator.comparing((VoterId voter) -> voter.host().value()).thenComparingLong(VoterId::diskIncarnation);

    private CommandMapping() {}

    static PeerProtocol.Command encode(Command command) {
        PeerProtocol.Command.Builder wire = PeerProtocol.Command.newBuilder();
        switch (command) {
            case Command.NoOperation nothing -> wire.setNoOperation(ValueMapping.NOTHING);
            case Command.ChangeVoters change ->
                wire.setChangeVoters(PeerProtocol.ChangeVoters.newBuilder()
                        .addAllVoters(ValueMapping.encodeVoters(
                                change.voters().stream().sorted(VOTER_ORDER).toList())));
            case Command.ApplySheet apply -> wire.setApplySheet(SheetMapping.encode(apply.sheet()));
            case Command.ReplaceDocument replace ->
                wire.setReplaceDocument(ValueMapping.encodeDocument(replace.version(), replace.content()));
            case Command.ReadDocument read -> wire.setReadDocument(ValueMapping.NOTHING);
            case Command.RecordUsage usage ->
                wire.setRecordUsage(ValueMapping.encodeUsage(usage.window(), usage.requests()));
            case Command.TakeFencingNumber take ->
                wire.setTakeFencingNumber(PeerProtocol.TakeFencingNumber.newBuilder()
                        .setLeader(take.leader().value())
                        .setTerm(take.term()));
            case Command.ReportCrash report ->
                wire.setReportCrash(PeerProtocol.ReportCrash.newBuilder()
                        .setReportId(report.reportId())
                        .setFingerprint(report.fingerprint().value())
                        .setShare(report.share())
                        .setPrecedingCrashes(report.precedingCrashes())
                        .setWallClockMillis(report.wallClockMillis()));
            case Command.WithdrawCrashes withdraw ->
                wire.setWithdrawCrashes(PeerProtocol.WithdrawCrashes.newBuilder()
                        .setFingerprint(withdraw.fingerprint().value())
                        .addAllReportIds(withdraw.reportIds().stream().sorted().toList()));
            case Command.RecordDeparture departed ->
                wire.setRecordDeparture(ValueMapping.encode(departed.departure(), departed.wallClockMillis()));
            case Command.ListServerVersion list ->
                wire.setListServerVersion(OriginMapping.encode(list.service(), list.version()));
            case Command.CloseServerVersion close ->
                wire.setCloseServerVersion(OriginMapping.encode(close.service(), close.version()));
            case Command.RetireServerVersion retire ->
                wire.setRetireServerVersion(OriginMapping.encode(retire.service(), retire.version()));
            case Command.BeginRollout begin -> wire.setBeginRollout(RolloutMapping.encode(begin));
            case Command.AdvanceRollout advance -> wire.setAdvanceRollout(RolloutMapping.encode(advance));
            case Command.FinishRollout finish -> wire.setFinishRollout(RolloutMapping.encode(finish));
            case Command.ReadRollout read -> wire.setReadRollout(read.service().value());
            case Command.RecordHostStart start ->
                wire.setRecordHostStart(PeerProtocol.RecordHostStart.newBuilder()
                        .setToken(start.token())
                        .setZone(start.zone().value())
                        .setHostClass(start.hostClass().value()));
            case Command.FinishHostStart finish ->
                wire.setFinishHostStart(PeerProtocol.FinishHostStart.newBuilder()
                        .setToken(finish.token())
                        .setPlatformHost(finish.platformHost()));
            case Command.RecordIntent intent ->
                wire.setRecordIntent(PeerProtocol.RecordIntent.newBuilder()
                        .setAccount(intent.account().value())
                        .setKey(intent.key().value())
                        .setContentDigest(intent.contentDigest())
                        .setOwner(intent.owner().value())
                        .setOwnerIncarnation(intent.ownerIncarnation())
                        .setRequest(intent.request().value())
                        .setWallClockMillis(intent.wallClockMillis()));
            case Command.ReleaseIntent release ->
                wire.setReleaseIntent(intentReference(release.account(), release.key(), release.request())
                        .setWallClockMillis(release.wallClockMillis()));
            case Command.LoseOutcome lose ->
                wire.setLoseOutcome(intentReference(lose.account(), lose.key(), lose.request()));
            case Command.RecordOutcome outcome ->
                wire.setRecordOutcome(PeerProtocol.RecordOutcome.newBuilder()
                        .setAccount(outcome.account().value())
                        .setKey(outcome.key().value())
                        .setRequest(outcome.request().value())
                        .setHttpStatus(outcome.httpStatus())
                        .setAnswer(ValueMapping.encode(outcome.answer()))
                        .setWallClockMillis(outcome.wallClockMillis()));
            case Command.MarkOwnerLost lost ->
                wire.setMarkOwnerLost(PeerProtocol.MarkOwnerLost.newBuilder()
                        .setOwner(lost.owner().value())
                        .setOwnerIncarnation(lost.ownerIncarnation()));
            case Command.AcceptWork accept ->
                wire.setAcceptWork(PeerProtocol.AcceptWork.newBuilder()
                        .setAccount(accept.account().value())
                        .setRequest(accept.request().value())
                        .setRank(accept.rank().value())
                        .setModel(ValueMapping.encode(accept.model()))
                        .setContent(ValueMapping.encode(accept.content()))
                        .setWallClockMillis(accept.wallClockMillis()));
            case Command.AssignWork assign ->
                wire.setAssignWork(PeerProtocol.AssignWork.newBuilder()
                        .setRequest(assign.request().value())
                        .setAttempt(assign.attempt())
                        .setOwner(assign.owner().value())
                        .setOwnerIncarnation(assign.ownerIncarnation()));
            case Command.ReturnWork returned ->
                wire.setReturnWork(PeerProtocol.ReturnWork.newBuilder()
                        .setRequest(returned.request().value())
                        .setAttempt(returned.attempt()));
            case Command.CompleteWork complete ->
                wire.setCompleteWork(PeerProtocol.CompleteWork.newBuilder()
                        .setRequest(complete.request().value())
                        .setAttempt(complete.attempt())
                        .setHttpStatus(complete.httpStatus())
                        .setAnswer(ValueMapping.encode(complete.answer()))
                        .setAnswerDigest(complete.answerDigest())
                        .setWallClockMillis(complete.wallClockMillis()));
            case Command.Expire expire ->
                wire.setExpire(PeerProtocol.Expire.newBuilder().setWallClockMillis(expire.wallClockMillis()));
        }
        return wire.build();
    }

    private static PeerProtocol.IntentReference.Builder intentReference(
            AccountName account, IdempotencyKey key, RequestId request) {
        return PeerProtocol.IntentReference.newBuilder()
                .setAccount(account.value())
                .setKey(key.value())
                .setRequest(request.value());
    }

    static Command decode(PeerProtocol.Command wire) {
        return switch (wire.getKindCase()) {
            case NO_OPERATION -> new Command.NoOperation();
            case CHANGE_VOTERS ->
                new Command.ChangeVoters(Set.copyOf(
                        ValueMapping.decodeVoters(wire.getChangeVoters().getVotersList())));
            case APPLY_SHEET -> new Command.ApplySheet(SheetMapping.decode(wire.getApplySheet()));
            case REPLACE_DOCUMENT ->
                new Command.ReplaceDocument(
                        wire.getReplaceDocument().getVersion(),
                        ValueMapping.decode(wire.getReplaceDocument().getContent()));
            case READ_DOCUMENT -> new Command.ReadDocument();
            case RECORD_USAGE ->
                new Command.RecordUsage(
                        wire.getRecordUsage().getWindow(), ValueMapping.decodeUsage(wire.getRecordUsage()));
            case TAKE_FENCING_NUMBER ->
                new Command.TakeFencingNumber(
                        HostId.of(wire.getTakeFencingNumber().getLeader()),
                        wire.getTakeFencingNumber().getTerm());
            case REPORT_CRASH -> decode(wire.getReportCrash());
            case WITHDRAW_CRASHES ->
                new Command.WithdrawCrashes(
                        Fingerprint.of(wire.getWithdrawCrashes().getFingerprint()),
                        Set.copyOf(wire.getWithdrawCrashes().getReportIdsList()));
            case RECORD_DEPARTURE ->
                new Command.RecordDeparture(
                        ValueMapping.decode(wire.getRecordDeparture()),
                        wire.getRecordDeparture().getWallClockMillis());
            case LIST_SERVER_VERSION ->
                new Command.ListServerVersion(
                        ServiceName.of(wire.getListServerVersion().getService()),
                        ServerVersion.of(wire.getListServerVersion().getVersion()));
            case CLOSE_SERVER_VERSION ->
                new Command.CloseServerVersion(
                        ServiceName.of(wire.getCloseServerVersion().getService()),
                        ServerVersion.of(wire.getCloseServerVersion().getVersion()));
            case RETIRE_SERVER_VERSION ->
                new Command.RetireServerVersion(
                        ServiceName.of(wire.getRetireServerVersion().getService()),
                        ServerVersion.of(wire.getRetireServerVersion().getVersion()));
            case BEGIN_ROLLOUT -> RolloutMapping.decode(wire.getBeginRollout());
            case ADVANCE_ROLLOUT -> RolloutMapping.decode(wire.getAdvanceRollout());
            case FINISH_ROLLOUT -> RolloutMapping.decode(wire.getFinishRollout());
            case READ_ROLLOUT -> new Command.ReadRollout(ServiceName.of(wire.getReadRollout()));
            case RECORD_HOST_START -> decode(wire.getRecordHostStart());
            case FINISH_HOST_START ->
                new Command.FinishHostStart(
                        wire.getFinishHostStart().getToken(),
                        wire.getFinishHostStart().getPlatformHost());
            case RECORD_INTENT -> decode(wire.getRecordIntent());
            case RELEASE_INTENT -> decodeReleaseIntent(wire.getReleaseIntent());
            case LOSE_OUTCOME -> decodeLoseOutcome(wire.getLoseOutcome());
            case RECORD_OUTCOME -> decode(wire.getRecordOutcome());
            case MARK_OWNER_LOST ->
                new Command.MarkOwnerLost(
                        HostId.of(wire.getMarkOwnerLost().getOwner()),
                        wire.getMarkOwnerLost().getOwnerIncarnation());
            case ACCEPT_WORK -> decode(wire.getAcceptWork());
            case ASSIGN_WORK -> decode(wire.getAssignWork());
            case RETURN_WORK ->
                new Command.ReturnWork(
                        RequestId.of(wire.getReturnWork().getRequest()),
                        wire.getReturnWork().getAttempt());
            case COMPLETE_WORK -> decode(wire.getCompleteWork());
            case EXPIRE -> new Command.Expire(wire.getExpire().getWallClockMillis());
            case KIND_NOT_SET -> throw DecodingException.kindNotSet("command", wire.getUnknownFields());
        };
    }

    private static Command decode(PeerProtocol.ReportCrash wire) {
        return new Command.ReportCrash(
                wire.getReportId(),
                Fingerprint.of(wire.getFingerprint()),
                wire.getShare(),
                wire.hasPrecedingCrashes() ? wire.getPrecedingCrashes() : Command.ReportCrash.UNRESTRICTED,
                wire.getWallClockMillis());
    }

    private static Command decode(PeerProtocol.RecordHostStart wire) {
        return new Command.RecordHostStart(
                wire.getToken(), AvailabilityZone.of(wire.getZone()), HostClass.of(wire.getHostClass()));
    }

    private static Command decode(PeerProtocol.RecordIntent wire) {
        return new Command.RecordIntent(
                AccountName.of(wire.getAccount()),
                IdempotencyKey.of(wire.getKey()),
                wire.getContentDigest(),
                HostId.of(wire.getOwner()),
                wire.getOwnerIncarnation(),
                RequestId.of(wire.getRequest()),
                wire.getWallClockMillis());
    }

    private static Command decodeReleaseIntent(PeerProtocol.IntentReference wire) {
        return new Command.ReleaseIntent(
                AccountName.of(wire.getAccount()),
                IdempotencyKey.of(wire.getKey()),
                RequestId.of(wire.getRequest()),
                wire.getWallClockMillis());
    }

    private static Command decodeLoseOutcome(PeerProtocol.IntentReference wire) {
        return new Command.LoseOutcome(
                AccountName.of(wire.getAccount()), IdempotencyKey.of(wire.getKey()), RequestId.of(wire.getRequest()));
    }

    private static Command decode(PeerProtocol.RecordOutcome wire) {
        return new Command.RecordOutcome(
                AccountName.of(wire.getAccount()),
                IdempotencyKey.of(wire.getKey()),
                RequestId.of(wire.getRequest()),
                wire.getHttpStatus(),
                ValueMapping.decode(wire.getAnswer()),
                wire.getWallClockMillis());
    }

    private static Command decode(PeerProtocol.AcceptWork wire) {
        return new Command.AcceptWork(
                AccountName.of(wire.getAccount()),
                RequestId.of(wire.getRequest()),
                RankName.of(wire.getRank()),
                ValueMapping.decode(wire.getModel()),
                ValueMapping.decode(wire.getContent()),
                wire.getWallClockMillis());
    }

    private static Command decode(PeerProtocol.AssignWork wire) {
        return new Command.AssignWork(
                RequestId.of(wire.getRequest()),
                wire.getAttempt(),
                HostId.of(wire.getOwner()),
                wire.getOwnerIncarnation());
    }

    private static Command decode(PeerProtocol.CompleteWork wire) {
        return new Command.CompleteWork(
                RequestId.of(wire.getRequest()),
                wire.getAttempt(),
                wire.getHttpStatus(),
                ValueMapping.decode(wire.getAnswer()),
                wire.getAnswerDigest(),
                wire.getWallClockMillis());
    }
}
