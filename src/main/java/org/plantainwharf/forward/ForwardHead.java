package org.plantainwharf.forward;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The parts of a forwarded request that the control thread needs; its bytes stay with the traffic threads. Immutable.
 *
 * @param requestId request id that the caller assigned
 * @param path path without query
 * @param key the caller's account key; empty if it sent none
 * @param deadlineMillis how long the caller waits; empty if it does not say
 * @param prompt present in requests to model engines
 */
public record ForwardHead(
        String requestId,
        String host,
        String path,
        Optional<String> key,
        OptionalLong deadlineMillis,
        Optional<PromptShape> prompt) {}
