package org.plantainwharf.backend;

import java.util.Optional;

import org.plantainwharf.identity.RequestId;

/** Finds the connections of callers that wait for a response. Thread-safe. */
@FunctionalInterface
public interface ResponseSinks {
    /** Returns the sink of a request, or empty if its caller has disconnected or its response is complete. */
    Optional<ResponseSink> sink(RequestId request);
}
