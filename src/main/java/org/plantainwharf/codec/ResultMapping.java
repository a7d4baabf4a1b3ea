package org.plantainwharf.codec;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.Query;
import org.plantainwharf.replicated.QueryResult;
import org.plantainwharf.wire.PeerProtocol;

/** Maps command results, queries and query results to and from protobuf. Stateless and thread-safe. */
final class ResultMapping {
    private ResultMapping() {}

    static PeerProtocol.CommandResult encode(CommandResult result) {
        PeerProtocol.CommandResult.Builder wire = PeerProtocol.CommandResult.newBuilder();
        switch (result) {
            case CommandResult.Done done -> wire.setDone(ValueMapping.NOTHING);
            case CommandResult.SheetAccepted accepted ->
                wire.setSheetAccepted(sheetVersion(accepted.version(), accepted.digest()));
            case CommandResult.SheetConflict conflict ->
                wire.setSheetConflict(sheetVersion(conflict.version(), conflict.winnerDigest()));
            case CommandResult.SheetStale stale ->
                wire.setSheetStale(PeerProtocol.SheetStale.newBuilder()
                        .setVersion(stale.version())
                        .setVersionInForce(stale.versionInForce()));
            case CommandResult.DocumentHeld held -> wire.setDocumentHeld(held.version());
            case CommandResult.DocumentContent content ->
                wire.setDocumentContent(ValueMapping.encodeDocument(content.version(), content.content()));
            case CommandResult.UsageRecorded usage ->
                wire.setUsageRecorded(ValueMapping.encodeUsage(usage.window(), usage.requests()));
            case CommandResult.RolloutHeld held -> wire.setRolloutHeld(RolloutMapping.encode(held.rollout()));
            case CommandResult.RolloutConflict conflict ->
                wire.setRolloutConflict(RolloutMapping.encode(conflict.inProgress()));
            case CommandResult.NoRollout none -> wire.setNoRollout(ValueMapping.NOTHING);
            case CommandResult.FencingNumber fencing -> wire.setFencingNumber(fencing.number());
            case CommandResult.IntentGranted granted -> wire.setIntentGranted(ValueMapping.NOTHING);
            case CommandResult.IntentFinished finished ->
                wire.setIntentFinished(PeerProtocol.IntentFinished.newBuilder()
                        .setHttpStatus(finished.httpStatus())
                        .setAnswer(ValueMapping.encode(finished.answer())));
            case CommandResult.IntentRunning running ->
                wire.setIntentRunning(running.request().value());
            case CommandResult.IntentLost lost -> wire.setIntentLost(ValueMapping.NOTHING);
            case CommandResult.IntentReused reused -> wire.setIntentReused(ValueMapping.NOTHING);
            case CommandResult.IntentExpired expired -> wire.setIntentExpired(ValueMapping.NOTHING);
            case CommandResult.Ignored ignored -> wire.setIgnored(ValueMapping.NOTHING);
        }
        return wire.build();
    }

    static PeerProtocol.SheetVersion sheetVersion(long version, String digest) {
        return PeerProtocol.SheetVersion.newBuilder()
                .setVersion(version)
                .setDigest(digest)
                .build();
    }

    static CommandResult decode(PeerProtocol.CommandResult wire) {
        return switch (wire.getKindCase()) {
            case DONE -> new CommandResult.Done();
            case SHEET_ACCEPTED ->
                new CommandResult.SheetAccepted(
                        wire.getSheetAccepted().getVersion(),
                        wire.getSheetAccepted().getDigest());
            case SHEET_CONFLICT ->
                new CommandResult.SheetConflict(
                        wire.getSheetConflict().getVersion(),
                        wire.getSheetConflict().getDigest());
            case SHEET_STALE ->
                new CommandResult.SheetStale(
                        wire.getSheetStale().getVersion(), wire.getSheetStale().getVersionInForce());
            case DOCUMENT_HELD -> new CommandResult.DocumentHeld(wire.getDocumentHeld());
            case DOCUMENT_CONTENT ->
                new CommandResult.DocumentContent(
                        wire.getDocumentContent().getVersion(),
                        ValueMapping.decode(wire.getDocumentContent().getContent()));
            case USAGE_RECORDED ->
                new CommandResult.UsageRecorded(
                        wire.getUsageRecorded().getWindow(), ValueMapping.decodeUsage(wire.getUsageRecorded()));
            case ROLLOUT_HELD -> new CommandResult.RolloutHeld(RolloutMapping.decode(wire.getRolloutHeld()));
            case ROLLOUT_CONFLICT ->
                new CommandResult.RolloutConflict(RolloutMapping.decode(wire.getRolloutConflict()));
            case NO_ROLLOUT -> new CommandResult.NoRollout();
            case FENCING_NUMBER -> new CommandResult.FencingNumber(wire.getFencingNumber());
            case INTENT_GRANTED -> new CommandResult.IntentGranted();
            case INTENT_FINISHED ->
                new CommandResult.IntentFinished(
                        wire.getIntentFinished().getHttpStatus(),
                        ValueMapping.decode(wire.getIntentFinished().getAnswer()));
            case INTENT_RUNNING -> new CommandResult.IntentRunning(RequestId.of(wire.getIntentRunning()));
            case INTENT_LOST -> new CommandResult.IntentLost();
            case INTENT_REUSED -> new CommandResult.IntentReused();
            case INTENT_EXPIRED -> new CommandResult.IntentExpired();
            case IGNORED -> new CommandResult.Ignored();
            case KIND_NOT_SET -> throw DecodingException.kindNotSet("command result", wire.getUnknownFields());
        };
    }

    static PeerProtocol.Query encode(Query query) {
        return switch (query) {
            case Query.WorkState work ->
                PeerProtocol.Query.newBuilder()
                        .setWorkState(PeerProtocol.WorkStateQuery.newBuilder()
                                .setAccount(work.account().value())
                                .setRequest(work.request().value()))
                        .build();
        };
    }

    static Query decode(PeerProtocol.Query wire) {
        return switch (wire.getKindCase()) {
            case WORK_STATE ->
                new Query.WorkState(
                        AccountName.of(wire.getWorkState().getAccount()),
                        RequestId.of(wire.getWorkState().getRequest()));
            case KIND_NOT_SET -> throw DecodingException.kindNotSet("query", wire.getUnknownFields());
        };
    }

    static PeerProtocol.QueryResult encode(QueryResult result) {
        PeerProtocol.QueryResult.Builder wire = PeerProtocol.QueryResult.newBuilder();
        switch (result) {
            case QueryResult.NotFound missing -> wire.setNotFound(ValueMapping.NOTHING);
            case QueryResult.WorkPending pending -> wire.setWorkPending(pending.attempt());
            case QueryResult.WorkFinished finished ->
                wire.setWorkFinished(PeerProtocol.WorkAnswer.newBuilder()
                        .setHttpStatus(finished.httpStatus())
                        .setAnswer(ValueMapping.encode(finished.answer()))
                        .setAnswerDigest(finished.answerDigest()));
        }
        return wire.build();
    }

    static QueryResult decode(PeerProtocol.QueryResult wire) {
        return switch (wire.getKindCase()) {
            case NOT_FOUND -> new QueryResult.NotFound();
            case WORK_PENDING -> new QueryResult.WorkPending(wire.getWorkPending());
            case WORK_FINISHED ->
                new QueryResult.WorkFinished(
                        wire.getWorkFinished().getHttpStatus(),
                        ValueMapping.decode(wire.getWorkFinished().getAnswer()),
                        wire.getWorkFinished().getAnswerDigest());
            case KIND_NOT_SET -> throw DecodingException.kindNotSet("query result", wire.getUnknownFields());
        };
    }
}
