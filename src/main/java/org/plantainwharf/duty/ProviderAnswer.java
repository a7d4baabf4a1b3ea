package org.plantainwharf.duty;

/** Result of a call to the cloud API. */
public enum ProviderAnswer {
    /** The call was executed, now or earlier. */
    DONE,
    /** The API has seen a higher fencing number, or the ordered capacity is not available at present. */
    CONFLICT,
    /** The API refused the call because of too many calls; it was not executed. */
    BUSY,
    /** No answer or a failure; the call may still be executed later. */
    UNKNOWN
}
