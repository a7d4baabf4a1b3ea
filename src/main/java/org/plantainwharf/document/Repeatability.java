package org.plantainwharf.document;

/** Says how often the requests of a route may run. */
public enum Repeatability {
    /** Any number of times. */
    SAFE,
    /** At most once for each request id. */
    ONCE,
    /** The answer is a stream of events; at most once, unless the route lets streams resume. */
    STREAM
}
