package org.plantainwharf.document;

/** How often a request of a route may run. */
public enum Repeatability {
    /** Any number of times. */
    SAFE,
    /** At most once per request id. */
    ONCE,
    /** At most once, unless streams of the route are resumable; the answer is a stream of events. */
    STREAM
}
