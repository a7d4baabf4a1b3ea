package org.plantainwharf.forward;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What decisions need of a request that is passed on; its bytes stay with the traffic threads. Immutable.
 *
 * @param requestId the caller's id of this request
 * @param path path without query
 * @param key the caller's key
 * @param deadlineMillis how long the caller waits
 * @param prompt present on requests to model engines
 */
public record ForwardHead(
        String requestId,
        String host,
        String path,
        Optional<String> key,
        OptionalLong deadlineMillis,
        Optional<PromptShape> prompt) {}
