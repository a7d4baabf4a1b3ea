package org.plantainwharf.board;

import java.util.Optional;

import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.sheet.Sheet;

/**
 * What traffic threads see of the board. Immutable; cheap to make, since it is made after every event.
 *
 * @param sheet the sheet in force
 * @param behind whether a newer sheet may exist
 * @param drainPhase progress of a planned stop
 * @param liveCalls number of live calls
 * @param documentInForce whether a service document is in force
 * @param serversKnown whether any backend server has been heard of
 */
public record BoardView(
        Optional<Sheet> sheet,
        boolean behind,
        DrainPhase drainPhase,
        int liveCalls,
        boolean documentInForce,
        boolean serversKnown) {
    /** Returns the view of a board in its present state. */
    static BoardView of(Board board) {
        return new BoardView(
                board.configuration().inForce(),
                board.configuration().behind(),
                board.drain().phase(),
                board.calls().size(),
                board.documents().table().isPresent(),
                !board.registry().servers().isEmpty());
    }
}
