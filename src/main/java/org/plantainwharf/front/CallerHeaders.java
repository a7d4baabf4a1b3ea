package org.plantainwharf.front;

import java.util.Optional;

/**
 * The headers of a caller's request that matter to a call. Immutable.
 *
 * @param authorization the whole value, with its scheme
 * @param rank value of {@code X-Rank}
 * @param idempotencyKey value of {@code Idempotency-Key}
 * @param mediaType value of {@code Content-Type}
 */
record CallerHeaders(
        Optional<String> authorization,
        Optional<String> rank,
        Optional<String> idempotencyKey,
        Optional<String> mediaType) {}
