package org.plantainwharf.error;

/** Says whether the request ran on a backend server. Immutable. */
public enum Ran {
    /** No byte of it was sent, or the server refused it before running it. */
    NO,
    /** It ran. */
    YES,
    /** It may have run. */
    UNKNOWN
}
