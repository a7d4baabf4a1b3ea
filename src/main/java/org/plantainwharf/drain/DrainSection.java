package org.plantainwharf.drain;

/** Progress of a planned stop. Written by the controllers of this package. Owned by the control thread. */
public final class DrainSection {
    private DrainPhase phase = new DrainPhase.Serving();

    private DrainSection() {}

    /** Returns a section without a planned stop. */
    public static DrainSection create() {
        return new DrainSection();
    }

    /** Returns the phase. */
    public DrainPhase phase() {
        return phase;
    }

    /** Says whether new calls are refused. */
    public boolean refusesCalls() {
        return switch (phase) {
            case DrainPhase.Serving serving -> false;
            case DrainPhase.Announcing announcing -> false;
            case DrainPhase.Finishing finishing -> true;
            case DrainPhase.Finished finished -> true;
        };
    }

    /** Moves to another phase. For the drain controller. */
    public void enter(DrainPhase next) {
        phase = next;
    }
}
