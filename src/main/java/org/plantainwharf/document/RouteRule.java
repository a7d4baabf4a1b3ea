package org.plantainwharf.document;

import java.util.List;

import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServiceName;

/**
 * Where requests of a host and a path prefix go and how they are treated. Immutable.
 *
 * @param pathPrefix begins and ends with a slash
 * @param timeoutMillis longest time that a caller is kept waiting, positive
 * @param targetLatencyMillis time to the answer, or to the first event of a stream, that earns full credit
 * @param priority 0 is the most urgent
 * @param split services with their weights; the sum is positive
 * @param maximumAttempts servers that one request may run on
 * @param open whether a key is not needed
 * @param resumable whether a stream may go on at another server after its last whole event
 * @param pauseMillis longest pause between the events of a stream, 0 where none is stated
 */
public record RouteRule(
        RouteName name,
        String host,
        String pathPrefix,
        Repeatability repeatability,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        List<Share> split,
        int maximumAttempts,
        boolean open,
        boolean resumable,
        long pauseMillis) {
    /** Copies the split. */
    public RouteRule {
        split = List.copyOf(split);
    }

    /** One service's part of a route's requests. */
    public record Share(ServiceName service, int weight) {}

    /** Says whether another server may go on with an answer that has begun: only streams of events can be cut and resumed. */
    public boolean mayResumeStream() {
        return repeatability == Repeatability.STREAM && resumable;
    }

    /** Says whether a request that may have run can be sent again. */
    public boolean mayRepeat() {
        return switch (repeatability) {
            case SAFE -> true;
            case ONCE -> false;
            case STREAM -> resumable;
        };
    }
}
