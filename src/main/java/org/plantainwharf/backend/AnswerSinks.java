package org.plantainwharf.backend;

import java.util.Optional;

import org.plantainwharf.identity.RequestId;

/** The callers whose connections wait for an answer. Thread-safe. */
@FunctionalInterface
public interface AnswerSinks {
    /** Returns the sink of a request, or nothing when its caller has left or its answer is complete. */
    Optional<AnswerSink> sink(RequestId request);
}
