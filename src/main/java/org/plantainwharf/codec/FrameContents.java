package org.plantainwharf.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import org.plantainwharf.wire.PeerProtocol;

/**
 * Finds and replaces the contents within a frame. A message without a changed content is returned itself.
 *
 * <p>Every path from a frame to a content is written out. A walk by the descriptors of protobuf would be shorter, but its
 * first use prepares reflection for each message type on the way, which keeps the event loop of a small host busy for longer
 * than links may be silent. Stateless; thread-safe.
 */
final class FrameContents {
    private FrameContents() {}

    /** Returns the frame with every content replaced; the frame itself if the replacement changes none. */
    static PeerProtocol.Frame map(PeerProtocol.Frame frame, UnaryOperator<PeerProtocol.Content> replacement) {
        return switch (frame.getKindCase()) {
            case REPLICATION -> {
                PeerProtocol.Replication before = frame.getReplication();
                PeerProtocol.ReplicaMessage after = map(before.getMessage(), replacement);
                yield after == before.getMessage()
                        ? frame
                        : frame.toBuilder()
                                .setReplication(before.toBuilder().setMessage(after))
                                .build();
            }
            case PROPOSE -> {
                PeerProtocol.Propose before = frame.getPropose();
                PeerProtocol.Command after = map(before.getCommand(), replacement);
                yield after == before.getCommand()
                        ? frame
                        : frame.toBuilder()
                                .setPropose(before.toBuilder().setCommand(after))
                                .build();
            }
            case PROPOSE_DECIDED -> {
                PeerProtocol.ProposeDecided before = frame.getProposeDecided();
                PeerProtocol.CommandResult after = map(before.getResult(), replacement);
                yield after == before.getResult()
                        ? frame
                        : frame.toBuilder()
                                .setProposeDecided(before.toBuilder().setResult(after))
                                .build();
            }
            case ANSWER -> {
                PeerProtocol.Answer before = frame.getAnswer();
                PeerProtocol.QueryResult after = map(before.getResult(), replacement);
                yield after == before.getResult()
                        ? frame
                        : frame.toBuilder()
                                .setAnswer(before.toBuilder().setResult(after))
                                .build();
            }
            case WORK_ASSIGNED -> {
                PeerProtocol.AssignedWork before = frame.getWorkAssigned();
                PeerProtocol.StateRecord after = map(before.getWork(), replacement);
                yield after == before.getWork()
                        ? frame
                        : frame.toBuilder()
                                .setWorkAssigned(before.toBuilder().setWork(after))
                                .build();
            }
            default -> frame;
        };
    }

    private static PeerProtocol.ReplicaMessage map(
            PeerProtocol.ReplicaMessage message, UnaryOperator<PeerProtocol.Content> replacement) {
        return switch (message.getKindCase()) {
            case APPEND_REQUEST -> {
                PeerProtocol.AppendRequest before = message.getAppendRequest();
                List<PeerProtocol.LogEntry> after = mapAll(before.getEntriesList(), entry -> map(entry, replacement));
                yield after == before.getEntriesList()
                        ? message
                        : message.toBuilder()
                                .setAppendRequest(
                                        before.toBuilder().clearEntries().addAllEntries(after))
                                .build();
            }
            case SNAPSHOT_CHUNK -> {
                PeerProtocol.SnapshotChunk before = message.getSnapshotChunk();
                List<PeerProtocol.StateRecord> after =
                        mapAll(before.getRecordsList(), record -> map(record, replacement));
                yield after == before.getRecordsList()
                        ? message
                        : message.toBuilder()
                                .setSnapshotChunk(
                                        before.toBuilder().clearRecords().addAllRecords(after))
                                .build();
            }
            default -> message;
        };
    }

    /** Returns the elements after the operation; the list itself if it changes none. */
    private static <T> List<T> mapAll(List<T> elements, UnaryOperator<T> operation) {
        boolean changed = false;
        List<T> mapped = new ArrayList<>(elements.size());
        for (T element : elements) {
            T after = operation.apply(element);
            changed |= after != element;
            mapped.add(after);
        }
        return changed ? mapped : elements;
    }

    private static PeerProtocol.LogEntry map(
            PeerProtocol.LogEntry entry, UnaryOperator<PeerProtocol.Content> replacement) {
        PeerProtocol.Command after = map(entry.getCommand(), replacement);
        return after == entry.getCommand()
                ? entry
                : entry.toBuilder().setCommand(after).build();
    }

    private static PeerProtocol.Command map(
            PeerProtocol.Command command, UnaryOperator<PeerProtocol.Content> replacement) {
        return switch (command.getKindCase()) {
            case RECORD_OUTCOME -> {
                PeerProtocol.RecordOutcome before = command.getRecordOutcome();
                PeerProtocol.Content after = replacement.apply(before.getAnswer());
                yield after == before.getAnswer()
                        ? command
                        : command.toBuilder()
                                .setRecordOutcome(before.toBuilder().setAnswer(after))
                                .build();
            }
            case ACCEPT_WORK -> {
                PeerProtocol.AcceptWork before = command.getAcceptWork();
                PeerProtocol.Content after = replacement.apply(before.getContent());
                yield after == before.getContent()
                        ? command
                        : command.toBuilder()
                                .setAcceptWork(before.toBuilder().setContent(after))
                                .build();
            }
            case COMPLETE_WORK -> {
                PeerProtocol.CompleteWork before = command.getCompleteWork();
                PeerProtocol.Content after = replacement.apply(before.getAnswer());
                yield after == before.getAnswer()
                        ? command
                        : command.toBuilder()
                                .setCompleteWork(before.toBuilder().setAnswer(after))
                                .build();
            }
            case REPLACE_DOCUMENT -> {
                PeerProtocol.DocumentVersion after = map(command.getReplaceDocument(), replacement);
                yield after == command.getReplaceDocument()
                        ? command
                        : command.toBuilder().setReplaceDocument(after).build();
            }
            default -> command;
        };
    }

    private static PeerProtocol.DocumentVersion map(
            PeerProtocol.DocumentVersion document, UnaryOperator<PeerProtocol.Content> replacement) {
        PeerProtocol.Content after = replacement.apply(document.getContent());
        return after == document.getContent()
                ? document
                : document.toBuilder().setContent(after).build();
    }

    private static PeerProtocol.CommandResult map(
            PeerProtocol.CommandResult result, UnaryOperator<PeerProtocol.Content> replacement) {
        return switch (result.getKindCase()) {
            case INTENT_FINISHED -> {
                PeerProtocol.IntentFinished before = result.getIntentFinished();
                PeerProtocol.Content after = replacement.apply(before.getAnswer());
                yield after == before.getAnswer()
                        ? result
                        : result.toBuilder()
                                .setIntentFinished(before.toBuilder().setAnswer(after))
                                .build();
            }
            case DOCUMENT_CONTENT -> {
                PeerProtocol.DocumentVersion after = map(result.getDocumentContent(), replacement);
                yield after == result.getDocumentContent()
                        ? result
                        : result.toBuilder().setDocumentContent(after).build();
            }
            default -> result;
        };
    }

    private static PeerProtocol.QueryResult map(
            PeerProtocol.QueryResult result, UnaryOperator<PeerProtocol.Content> replacement) {
        if (!result.hasWorkFinished()) {
            return result;
        }
        PeerProtocol.WorkAnswer after = map(result.getWorkFinished(), replacement);
        return after == result.getWorkFinished()
                ? result
                : result.toBuilder().setWorkFinished(after).build();
    }

    private static PeerProtocol.WorkAnswer map(
            PeerProtocol.WorkAnswer answer, UnaryOperator<PeerProtocol.Content> replacement) {
        PeerProtocol.Content after = replacement.apply(answer.getAnswer());
        return after == answer.getAnswer()
                ? answer
                : answer.toBuilder().setAnswer(after).build();
    }

    private static PeerProtocol.StateRecord map(
            PeerProtocol.StateRecord record, UnaryOperator<PeerProtocol.Content> replacement) {
        return switch (record.getKindCase()) {
            case ORDER -> {
                PeerProtocol.Order after = map(record.getOrder(), replacement);
                yield after == record.getOrder()
                        ? record
                        : record.toBuilder().setOrder(after).build();
            }
            case WORK -> {
                PeerProtocol.Work after = map(record.getWork(), replacement);
                yield after == record.getWork()
                        ? record
                        : record.toBuilder().setWork(after).build();
            }
            case DOCUMENT -> {
                PeerProtocol.DocumentVersion after = map(record.getDocument(), replacement);
                yield after == record.getDocument()
                        ? record
                        : record.toBuilder().setDocument(after).build();
            }
            default -> record;
        };
    }

    private static PeerProtocol.Order map(PeerProtocol.Order order, UnaryOperator<PeerProtocol.Content> replacement) {
        if (!order.hasFinished()) {
            return order;
        }
        PeerProtocol.OrderFinished before = order.getFinished();
        PeerProtocol.Content after = replacement.apply(before.getAnswer());
        return after == before.getAnswer()
                ? order
                : order.toBuilder()
                        .setFinished(before.toBuilder().setAnswer(after))
                        .build();
    }

    private static PeerProtocol.Work map(PeerProtocol.Work work, UnaryOperator<PeerProtocol.Content> replacement) {
        PeerProtocol.Content content = replacement.apply(work.getContent());
        PeerProtocol.Work mapped = content == work.getContent()
                ? work
                : work.toBuilder().setContent(content).build();
        if (!work.hasFinished()) {
            return mapped;
        }
        PeerProtocol.WorkFinished before = work.getFinished();
        PeerProtocol.WorkAnswer after = map(before.getAnswer(), replacement);
        return after == before.getAnswer()
                ? mapped
                : mapped.toBuilder()
                        .setFinished(before.toBuilder().setAnswer(after))
                        .build();
    }
}
