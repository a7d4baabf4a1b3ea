package org.plantainwharf.keptpart;

/**
 * Section of the board, the state owned by the control thread, on which servers keep which parts of prompts.
 * Owned by the control thread; written by the controllers of this package.
 */
public final class KeptPartSection {
    private KeptPartSection() {}

    /** Returns an empty section. */
    public static KeptPartSection create() {
        return new KeptPartSection();
    }
}
