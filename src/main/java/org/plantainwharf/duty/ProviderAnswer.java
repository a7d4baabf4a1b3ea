package org.plantainwharf.duty;

/** What the cloud API made of a call. */
public enum ProviderAnswer {
    /** It was carried out, now or earlier. */
    DONE,
    /** A holder with a higher fencing number was seen, or what was ordered is not to be had now. */
    CONFLICT,
    /** Too many calls; it was not carried out. */
    BUSY,
    /** No answer or a failure; it may still be carried out later. */
    UNKNOWN
}
