package org.plantainwharf.replicated;

import org.plantainwharf.call.Content;

/** The answer to a query. Immutable. */
public sealed interface QueryResult {
    /** No such record for this account. */
    record NotFound() implements QueryResult {}

    /** Accepted work that has no answer yet. */
    record WorkPending(int attempt) implements QueryResult {}

    /**
     * Accepted work with its whole answer.
     *
     * @param answerDigest lower-case hexadecimal SHA-256 of the answer's bytes
     */
    record WorkFinished(int httpStatus, Content answer, String answerDigest) implements QueryResult {}
}
