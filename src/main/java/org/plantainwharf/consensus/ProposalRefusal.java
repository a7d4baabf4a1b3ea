package org.plantainwharf.consensus;

import java.util.Locale;

/** Why a proposal was not appended. Immutable. */
public enum ProposalRefusal {
    /** This member does not lead. */
    NOT_LEADING,
    /** The leader is handing over. */
    RESIGNING,
    /** A voter change is refused until the leader has committed an entry of its own term. */
    TERM_NOT_COMMITTED,
    /** The voter change before is not committed, or the voter that it added is not caught up and synced. */
    CHANGE_IN_PROGRESS,
    /** More than one identity would be added or removed, or nobody would be left. */
    CHANGE_TOO_LARGE,
    /** The identity to add is not caught up and synced. */
    NOT_CAUGHT_UP;

    /** Returns the name of the counter. */
    public String metricName() {
        return "consensus.proposals_refused." + name().toLowerCase(Locale.ROOT);
    }
}
