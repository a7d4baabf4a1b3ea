package org.plantainwharf.replicated;

import org.plantainwharf.call.Content;

/** The answer to a query. Immutable. */
public sealed interface QueryResult {
    /** The account has no such record. */
    record NotFound() implements QueryResult {}

    /**
     * Accepted work without an answer yet.
     *
     * @param attempt number of the newest attempt, 0 before the first
     */
    record WorkPending(int attempt) implements QueryResult {}

    /**
     * Accepted work with its complete answer.
     *
     * @param answerDigest lower-case hexadecimal SHA-256 of the answer's bytes
     */
    record WorkFinished(int httpStatus, Content answer, String answerDigest) implements QueryResult {}
}
