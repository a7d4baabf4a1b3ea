package org.plantainwharf.consensus;

import java.util.Locale;

/** Reason why a proposal was not appended. */
public enum ProposalRefusal {
    /** This member is not the leader. */
    NOT_LEADING,
    /** Too many bytes of entries are not committed, or not synced to the leader's own disk. */
    LOG_FULL,
    /** The leader is transferring its leadership. */
    RESIGNING,
    /** The leader has not committed an entry of its own term yet; voter changes are refused until then. */
    TERM_NOT_COMMITTED,
    /** The previous voter change is not committed, or not confirmed because the added voter has not synced it. */
    CHANGE_IN_PROGRESS,
    /** The change adds or removes more than one identity, or leaves no voter. */
    CHANGE_TOO_LARGE,
    /** The identity to add has not synced the log up to the commit index. */
    NOT_CAUGHT_UP;

    /** Returns the name of the metric that counts refusals for this reason. */
    public String metricName() {
        return "consensus.proposals_refused." + name().toLowerCase(Locale.ROOT);
    }
}
