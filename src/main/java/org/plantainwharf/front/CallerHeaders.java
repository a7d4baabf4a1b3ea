package org.plantainwharf.front;

import java.util.Optional;

/**
 * The headers of a caller's request that this system interprets. Immutable.
 *
 * @param authorization value of {@code Authorization}, including the scheme
 * @param rank value of {@code X-Rank}
 * @param idempotencyKey value of {@code Idempotency-Key}
 * @param mediaType value of {@code Content-Type}
 */
record CallerHeaders(
        Optional<String> authorization,
        Optional<String> rank,
        Optional<String> idempotencyKey,
        Optional<String> mediaType) {}
