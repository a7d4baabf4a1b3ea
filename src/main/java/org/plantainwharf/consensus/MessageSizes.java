package org.plantainwharf.consensus;

import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.sheet.Sheet;

/** Estimates encoded sizes so that messages stay below the frame size limit. Stateless. */
final class MessageSizes {
    /** Estimated bytes of a command or record without the variable-length content that is added to it. */
    private static final int OVERHEAD_BYTES = 256;
    /** Estimated bytes of one element of a collection, such as a voter, a usage count or a route of a sheet. */
    private static final int ELEMENT_BYTES = 128;

    /** Estimated bytes from which on an entry is sent only when the one before it is confirmed. */
    private static final int LARGE_BYTES = 16 << 10;

    private MessageSizes() {}

    /** Returns whether a command is so large that its transfer may take long on a slow link. */
    static boolean isLarge(Command command) {
        return estimatedBytes(command) >= LARGE_BYTES;
    }

    /** Returns whether the records of a chunk are so large that their transfer may take long on a slow link. */
    static boolean isLarge(ReplicaMessage.SnapshotChunk chunk) {
        return chunk.records().stream().mapToLong(MessageSizes::estimatedBytes).sum() >= LARGE_BYTES;
    }

    /** Returns whether the entries of a message are so large that their transfer may take long on a slow link. */
    static boolean isLarge(ReplicaMessage.AppendRequest request) {
        return request.entries().stream()
                        .mapToLong(entry -> estimatedBytes(entry.command()))
                        .sum()
                >= LARGE_BYTES;
    }

    /** Returns an estimate in bytes. */
    static int estimatedBytes(Command command) {
        return OVERHEAD_BYTES
                + switch (command) {
                    case Command.ApplySheet apply -> estimatedBytes(apply.sheet());
                    case Command.RecordOutcome outcome -> outcome.answer().length();
                    case Command.AcceptWork work -> work.content().length();
                    case Command.CompleteWork work -> work.answer().length();
                    case Command.ChangeVoters change -> change.voters().size() * ELEMENT_BYTES;
                    case Command.ReplaceDocument replace -> replace.content().length();
                    case Command.ReadDocument read -> 0;
                    case Command.RecordUsage usage -> usage.requests().size() * ELEMENT_BYTES;
                    case Command.NoOperation none -> 0;
                    case Command.TakeFencingNumber take -> 0;
                    case Command.ReportCrash report -> 0;
                    case Command.WithdrawCrashes withdraw ->
                        withdraw.reportIds().size() * ELEMENT_BYTES;
                    case Command.RecordDeparture departure -> 0;
                    case Command.ListServerVersion listed -> 0;
                    case Command.CloseServerVersion closed -> 0;
                    case Command.RetireServerVersion retired -> 0;
                    case Command.BeginRollout begin -> 0;
                    case Command.AdvanceRollout advance -> 0;
                    case Command.FinishRollout finish -> 0;
                    case Command.ReadRollout read -> 0;
                    case Command.RecordHostStart start -> 0;
                    case Command.FinishHostStart finish -> 0;
                    case Command.RecordIntent intent -> 0;
                    case Command.ReleaseIntent release -> 0;
                    case Command.LoseOutcome lose -> 0;
                    case Command.MarkOwnerLost mark -> 0;
                    case Command.AssignWork assign -> 0;
                    case Command.ReturnWork returned -> 0;
                    case Command.Expire expire -> 0;
                };
    }

    /** Returns an estimate in bytes. */
    static int estimatedBytes(StateRecord record) {
        return OVERHEAD_BYTES
                + switch (record) {
                    case StateRecord.SheetInForce sheet -> estimatedBytes(sheet.sheet());
                    case StateRecord.Crashes crashes -> crashes.reportIds().size() * ELEMENT_BYTES;
                    case StateRecord.Order order ->
                        order.state() instanceof StateRecord.OrderState.Finished finished
                                ? finished.answer().length()
                                : 0;
                    case StateRecord.Work work ->
                        work.content().length()
                                + (work.state() instanceof StateRecord.WorkState.Finished finished
                                        ? finished.answer().length()
                                        : 0);
                    case StateRecord.Document document -> document.content().length();
                    case StateRecord.Usage usage -> usage.requests().size() * ELEMENT_BYTES;
                    case StateRecord.AcceptedSheet accepted -> 0;
                    case StateRecord.Fencing fencing -> 0;
                    case StateRecord.Departed departed -> 0;
                    case StateRecord.ListedVersion listed -> 0;
                    case StateRecord.NewestRollout rollout -> 0;
                    case StateRecord.HostStart start -> 0;
                };
    }

    /** Returns an estimate in bytes. */
    static long estimatedBytes(ReplicaSnapshot snapshot) {
        return snapshot.records().stream()
                .mapToLong(MessageSizes::estimatedBytes)
                .sum();
    }

    private static int estimatedBytes(Sheet sheet) {
        return ELEMENT_BYTES
                * (sheet.accounts().size()
                        + sheet.ranks().size()
                        + sheet.routes().size()
                        + sheet.budgets().size());
    }
}
