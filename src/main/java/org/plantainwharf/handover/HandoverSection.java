package org.plantainwharf.handover;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.ServiceName;

/**
 * Section of the board, the state owned by the control thread, for requests that are handed over: which services this daemon
 * reaches, and which other entry daemons would serve their requests. Written by the reach controller.
 */
public final class HandoverSection {
    /** How long an entry daemon is not asked again that could not be reached or refused a request. */
    private static final long AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Map<ServiceName, ServiceReach> services = new HashMap<>();
    private final Map<String, Long> avoidedUntilNanos = new HashMap<>();
    private List<String> helpers = List.of();

    private HandoverSection() {}

    public static HandoverSection create() {
        return new HandoverSection();
    }

    /** Returns whether this daemon reaches the servers of a service. */
    public Reach reach(ServiceName service) {
        @Nullable ServiceReach known = services.get(service);
        return known == null ? new Reach.Open() : known.reach();
    }

    /** Returns the fraction of new requests that this daemon should send to servers itself, 0 to 1. */
    public double ownFraction(ServiceName service, long nowNanos) {
        return switch (reach(service)) {
            case Reach.Open open -> 1;
            case Reach.OldConnectionsOnly oldOnly -> 1;
            case Reach.CutOff cutOff -> 0;
            case Reach.Returning returning ->
                Math.min(1, (double) (nowNanos - returning.sinceNanos()) / ServiceReach.RETURN_NANOS);
        };
    }

    /**
     * Returns the address of an entry daemon that would serve a request; empty if none is known.
     *
     * @param tried addresses of those that were asked already
     * @param random returns a number from 0 to below its argument
     */
    public Optional<String> helper(Set<String> tried, IntUnaryOperator random, long nowNanos) {
        List<String> usable = helpers.stream()
                .filter(address -> !tried.contains(address) && !isAvoided(address, nowNanos))
                .toList();
        return usable.isEmpty() ? Optional.empty() : Optional.of(usable.get(random.applyAsInt(usable.size())));
    }

    private boolean isAvoided(String address, long nowNanos) {
        @Nullable Long until = avoidedUntilNanos.get(address);
        return until != null && nowNanos - until < 0;
    }

    /** Returns the services whose servers this daemon does not reach, or on older connections only. */
    Set<ServiceName> unreached() {
        return services.entrySet().stream()
                .filter(service -> switch (service.getValue().reach()) {
                    case Reach.Open open -> false;
                    case Reach.OldConnectionsOnly oldOnly -> true;
                    case Reach.CutOff cutOff -> true;
                    case Reach.Returning returning -> true;
                })
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    ServiceReach service(ServiceName service) {
        return services.computeIfAbsent(service, name -> ServiceReach.create());
    }

    Map<ServiceName, ServiceReach> services() {
        return services;
    }

    void setHelpers(List<String> addresses) {
        helpers = List.copyOf(addresses);
        avoidedUntilNanos.keySet().retainAll(addresses);
    }

    void avoid(String address, long nowNanos) {
        avoidedUntilNanos.put(address, nowNanos + AVOIDANCE_NANOS);
    }
}
