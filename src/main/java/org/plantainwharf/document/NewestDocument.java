package org.plantainwharf.document;

import java.time.Duration;

import org.plantainwharf.board.Board;
import org.plantainwharf.replicated.StateRecord;

/**
 * Determines whether the document that this daemon has is the newest one, so that what it lacks does not exist. Stateless;
 * reads the board on the control thread.
 */
public final class NewestDocument {
    private static final int CONTROL_GROUP = 0;

    /**
     * A document is in force within 2 s on every host that reaches a majority, so a daemon whose copy of the log is older
     * may lack one that callers already use.
     */
    private static final long MAXIMUM_AGE_NANOS = Duration.ofSeconds(2).toNanos();

    private NewestDocument() {}

    /** Returns whether this daemon has applied what was committed to the control group's log until recently. */
    public static boolean isKnown(Board board, long nowNanos) {
        return board.consensus().copy(CONTROL_GROUP).isCurrent(nowNanos, MAXIMUM_AGE_NANOS);
    }

    /** Returns what is known about this daemon's copy of the control group's log, for log lines. */
    public static String describeLogCopy(Board board, long nowNanos) {
        return board.consensus().copy(CONTROL_GROUP).describe(nowNanos);
    }

    /** Returns whether the document in force is the newest one. False while this daemon cannot know that. */
    public static boolean isInForce(Board board, long nowNanos) {
        return isKnown(board, nowNanos)
                && board.configuration()
                        .state()
                        .document()
                        .map(StateRecord.Document::version)
                        .filter(version -> version == board.documents().version())
                        .isPresent();
    }
}
