package org.plantainwharf.rollout;

/**
 * Section of the board, the state owned by the control thread, on rollouts: requests of operators that are not answered yet, and the evidence of all daemons.
 * Owned by the control thread; written by the controllers of this package.
 */
public final class RolloutSection {
    private RolloutSection() {}

    /** Returns an empty section. */
    public static RolloutSection create() {
        return new RolloutSection();
    }
}
