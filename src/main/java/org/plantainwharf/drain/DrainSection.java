package org.plantainwharf.drain;

/** Phase of the drain. Written by the controllers of this package. Owned by the control thread. */
public final class DrainSection {
    private DrainPhase phase = new DrainPhase.Serving();

    private DrainSection() {}

    /** Returns a section in the phase {@link DrainPhase.Serving}. */
    public static DrainSection create() {
        return new DrainSection();
    }

    public DrainPhase phase() {
        return phase;
    }

    /** Returns whether new calls are refused. */
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
