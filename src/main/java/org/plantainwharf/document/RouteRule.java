package org.plantainwharf.document;

import java.util.List;
import java.util.random.RandomGenerator;

import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServiceName;

/**
 * Services and treatment of the requests with a host and a path prefix. Immutable.
 *
 * @param pathPrefix starts and ends with a slash
 * @param timeoutMillis maximum time until a request ends, positive
 * @param targetLatencyMillis time to the answer, or to the first event of a stream, that earns full credit
 * @param priority 0 is the most urgent
 * @param split services with their weights; the sum of the weights is positive and fits into a long
 * @param maximumAttempts maximum number of servers on which a request may run
 * @param allowsAnonymous whether requests without an account key are accepted
 * @param resumable whether another server may continue a stream after the last complete event
 * @param targetEventIntervalMillis target for the longest time between two events of a stream; 0 if none is stated
 */
public record RouteRule(
        RouteName name,
        String host,
        String pathPrefix,
        Repeatability repeatability,
        long timeoutMillis,
        long targetLatencyMillis,
        long priority,
        List<Share> split,
        long maximumAttempts,
        boolean allowsAnonymous,
        boolean resumable,
        long targetEventIntervalMillis) {
    /** Copies the split. */
    public RouteRule {
        split = List.copyOf(split);
    }

    /** Share of a route's requests that a service receives, relative to the sum of the weights. */
    public record Share(ServiceName service, long weight) {}

    /** Draws the service of a request, each with the probability of its share. */
    public ServiceName chooseService(RandomGenerator random) {
        long totalWeight = split.stream().mapToLong(Share::weight).reduce(0, Math::addExact);
        long remainingWeight = random.nextLong(totalWeight);
        for (Share share : split) {
            remainingWeight -= share.weight();
            if (remainingWeight < 0) {
                return share.service();
            }
        }
        return split.getLast().service();
    }

    /**
     * Returns whether another server may continue an answer that has started. Only streams of events can be split
     * between two servers.
     */
    public boolean mayResumeStream() {
        return repeatability == Repeatability.STREAM && resumable;
    }

    /** Returns whether a request may be sent again after an attempt that may have run. */
    public boolean mayRepeat() {
        return switch (repeatability) {
            case SAFE -> true;
            case ONCE -> false;
            case STREAM -> resumable;
        };
    }
}
