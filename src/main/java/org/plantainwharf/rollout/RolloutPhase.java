package org.plantainwharf.rollout;

/**
 * How far a rollout has come. Invariant: a rollout only moves on, from observing to growing shares, to retiring, and to one
 * verdict, which never changes. Immutable.
 */
public sealed interface RolloutPhase {
    /** Largest share of the target version, in thousandths of the requests that may begin at it. */
    int WHOLE_PERMILLE = 1_000;

    /** The target version gets the share of requests that may reach a version that is not known to be good. */
    record Observing() implements RolloutPhase {}

    /**
     * The target version was as good as the others and gets a growing share of the requests.
     *
     * @param sharePermille share in thousandths; values outside of 1 to 999 count as the nearest of these
     */
    record Growing(int sharePermille) implements RolloutPhase {
        /** Returns the share in thousandths, from 1 to 999. */
        public int boundedPermille() {
            return Math.max(1, Math.min(WHOLE_PERMILLE - 1, sharePermille));
        }
    }

    /** Every request begins at the target version; the last ones at other versions end. */
    record Retiring() implements RolloutPhase {}

    /** Verdict: the service runs the target version, and servers of other versions may stop at once. */
    record Completed() implements RolloutPhase {}

    /**
     * Verdict: nothing is sent to the target version any more.
     *
     * @param reason what the target version did worse than the others; for the operator
     */
    record RolledBack(String reason) implements RolloutPhase {}

    /** Returns whether this is a verdict. */
    default boolean ended() {
        return switch (this) {
            case Observing observing -> false;
            case Growing growing -> false;
            case Retiring retiring -> false;
            case Completed completed -> true;
            case RolledBack rolledBack -> true;
        };
    }

    /** Returns a number that increases as a rollout moves on. */
    default int order() {
        return switch (this) {
            case Observing observing -> 0;
            case Growing growing -> growing.boundedPermille();
            case Retiring retiring -> WHOLE_PERMILLE;
            case Completed completed -> WHOLE_PERMILLE + 1;
            case RolledBack rolledBack -> WHOLE_PERMILLE + 1;
        };
    }

    /** Returns the phase as one word for log lines. */
    default String describe() {
        return switch (this) {
            case Observing observing -> "observing";
            case Growing growing -> "growing_" + growing.boundedPermille();
            case Retiring retiring -> "retiring";
            case Completed completed -> "completed";
            case RolledBack rolledBack -> "rolled_back";
        };
    }

    /** Returns whether a rollout in this phase may move on to another one. */
    default boolean mayBecome(RolloutPhase next) {
        return !ended() && next.order() > order();
    }
}
