package org.plantainwharf.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Content;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.testing.Samples;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against small hosts that fall behind because they decode every document of a series, and against documents that
 * are put in force late or not at all.
 */
class DocumentControllerTest {
    private final List<Long> decoded = new ArrayList<>();
    private final Board board = Board.create(Samples.settings("edge-1"), 1, 7);
    private final ControlCycle cycle = ControlCycle.create(board, List.of(DocumentController.create(this::decode)));
    private boolean unreadable;

    private Either<Failure, ServiceDocument> decode(Content content) {
        long version = content.bytes()[0];
        decoded.add(version);
        return unreadable
                ? Either.left(Failure.of(ErrorKind.DOCUMENT_INVALID, "unreadable"))
                : Either.right(new ServiceDocument(version, List.of(), Map.of(), CallerBounds.defaults(), List.of()));
    }

    private void commit(int version) {
        Command command =
                new Command.ReplaceDocument(version, Content.of("application/json", new byte[] {(byte) version}));
        CommandResult result = board.configuration().state().apply(command);
        cycle.run(new ReplicationEvent.EntryApplied(0, version, command, result), 0, 0);
    }

    private void tick() {
        cycle.run(new TimerEvent.Tick(), 0, 0);
    }

    @Nested
    class FirstDocument {
        @Test
        void isInForceAtOnce() {
            commit(1);
            assertEquals(1, board.documents().version());
        }
    }

    /**
     * A daemon without a disk learns the log anew after a restart. A key that was withdrawn since, or a route that was
     * moved, must not be in use again in the meantime.
     */
    @Nested
    class RestartedDaemons {
        private void learnUpTo(long appliedIndex, long commitIndex) {
            board.consensus()
                    .put(new GroupStatus(
                            0, Optional.empty(), false, 1, commitIndex, appliedIndex, Long.MIN_VALUE, 0, false));
        }

        @Test
        void putNoFormerDocumentInForce() {
            learnUpTo(1, 3);
            commit(1);
            tick();
            learnUpTo(2, 3);
            commit(2);
            tick();
            assertEquals(Optional.empty(), board.documents().table());
            learnUpTo(3, 3);
            commit(3);
            assertEquals(3, board.documents().version());
            assertEquals(List.of(3L), decoded);
        }

        @Test
        void putTheDocumentInForceWhenTheLastEntryIsAnotherCommand() {
            learnUpTo(1, 2);
            commit(1);
            learnUpTo(2, 2);
            tick();
            assertEquals(1, board.documents().version());
        }

        /** A daemon that serves goes on with the document that it has while it catches up with later ones. */
        @Test
        void keepADocumentThatIsInForce() {
            commit(1);
            learnUpTo(1, 9);
            commit(2);
            tick();
            assertEquals(2, board.documents().version());
        }
    }

    @Nested
    class LaterDocuments {
        @Test
        void areInForceWithTheNextTick() {
            commit(1);
            commit(2);
            tick();
            assertEquals(2, board.documents().version());
        }

        @Test
        void areDecodedOnceForAWholeSeries() {
            commit(1);
            for (int version = 2; version <= 30; version++) {
                commit(version);
            }
            tick();
            tick();
            assertEquals(List.of(1L, 30L), decoded);
            assertEquals(30, board.documents().version());
        }

        /** Decoding it again with each tick would keep the control thread busy. */
        @Test
        void thatAreUnreadableAreTriedOnce() {
            commit(1);
            unreadable = true;
            commit(2);
            tick();
            tick();
            assertEquals(List.of(1L, 2L), decoded);
            assertEquals(1, board.documents().version());
        }
    }
}
