package org.plantainwharf.record;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.board.CallCompletion;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.CallState;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.Event;
import org.plantainwharf.replicated.Command;

/**
 * Proposes the record that must be committed before a call may proceed: the intent of an order or the acceptance of long
 * work. Fails the call immediately if this host has had no recent contact with the group's leader. Runs on the control
 * thread.
 */
public final class CallRecordingController implements Controller {
    private CallRecordingController() {}

    /** Returns the controller. */
    public static CallRecordingController create() {
        return new CallRecordingController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        @Nullable CallEntry entry = board.calls().pollRecording();
        while (entry != null) {
            proposeRecord(entry, board, nowNanos, effects);
            entry = board.calls().pollRecording();
        }
    }

    private static void proposeRecord(CallEntry entry, Board board, long nowNanos, Effects effects) {
        Call call = entry.call();
        int groups = board.settings().recordGroups();
        switch (call.kind()) {
            case CallKind.Order order -> {
                int group = RecordGroups.groupOf(call.account(), order.key(), groups);
                if (Proposals.hasRecentLeaderContact(board, group, nowNanos)) {
                    board.records().addIntent(call.id());
                    Command intent = new Command.RecordIntent(
                            call.account(),
                            order.key(),
                            order.route() + "/" + call.fingerprint().value(),
                            board.membership().self(),
                            board.membership().incarnation(),
                            call.id(),
                            board.wallClockMillis());
                    Proposals.propose(board, effects, group, intent, new PendingProposal.Intent(call.id()));
                } else {
                    CallCompletion.fail(board, effects, entry, Failure.of(ErrorKind.NO_QUORUM_NOT_RUN));
                }
            }
            case CallKind.LongWork work -> {
                int group = RecordGroups.groupOf(call.account(), call.id(), groups);
                if (Proposals.hasRecentLeaderContact(board, group, nowNanos)) {
                    Command accept = new Command.AcceptWork(
                            call.account(),
                            call.id(),
                            call.rank(),
                            work.model(),
                            call.content(),
                            board.wallClockMillis());
                    Proposals.propose(board, effects, group, accept, new PendingProposal.Acceptance(call.id()));
                } else {
                    CallCompletion.fail(board, effects, entry, Failure.of(ErrorKind.NO_QUORUM_NOT_RUN));
                }
            }
            case CallKind.Model model -> board.calls().advance(entry, new CallState.Ready(nowNanos));
            case CallKind.Service service -> board.calls().advance(entry, new CallState.Ready(nowNanos));
        }
    }
}
