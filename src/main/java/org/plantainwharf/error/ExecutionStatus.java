package org.plantainwharf.error;

/** Whether a request ran on a backend server. Immutable. */
public enum ExecutionStatus {
    /** The request did not run: no byte of it was sent, or the server refused it before running it. */
    NO,
    /** The request ran. */
    YES,
    /** The request may have run. */
    UNKNOWN
}
