package org.plantainwharf.room;

/**
 * Section of the board, the state owned by the control thread, on the room of services: what this daemon is asked for and how room is shared.
 * Owned by the control thread; written by the controllers of this package.
 */
public final class RoomSection {
    private RoomSection() {}

    /** Returns an empty section. */
    public static RoomSection create() {
        return new RoomSection();
    }
}
