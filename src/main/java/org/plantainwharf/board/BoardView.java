package org.plantainwharf.board;

import java.util.Optional;

import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.sheet.Sheet;

/**
 * A view of the board for traffic threads. Immutable. Creating one must be cheap, since that happens after every event.
 *
 * @param sheet the sheet in force, empty for none
 * @param behind whether a newer sheet may be in force elsewhere
 * @param drainPhase progress of a graceful stop
 * @param liveCalls number of live calls
 * @param documentInForce whether a service document is in force
 * @param serversKnown whether any backend server is registered
 */
public record BoardView(
        Optional<Sheet> sheet,
        boolean behind,
        DrainPhase drainPhase,
        int liveCalls,
        boolean documentInForce,
        boolean serversKnown) {
    /** Returns a view of the board's current state. */
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
