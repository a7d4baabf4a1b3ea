package org.plantainwharf.room;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.plantainwharf.identity.ServiceName;

/**
 * Section of the board, the state owned by the control thread, on the room of services: what this daemon is asked for and
 * how room is shared. Owned by the control thread; written by the controllers of this package, and by the forward
 * controller through {@link #decide} and {@link #recordUndecided}.
 */
public final class RoomSection {
    private final Map<ServiceName, ServiceRoom> services = new HashMap<>();
    private final RoomAggregator aggregator = new RoomAggregator();

    private boolean shared;

    private RoomSection() {}

    /** Returns an empty section. */
    public static RoomSection create() {
        return new RoomSection();
    }

    /** Returns whether the room of services is shared here, so that requests have to be measured. */
    public boolean isShared() {
        return shared;
    }

    void setShared() {
        shared = true;
    }

    /** Returns whether more is asked for than the servers of the service can process. */
    public boolean isShort(ServiceName service) {
        ServiceRoom room = services.get(service);
        return room != null && room.isShort();
    }

    /**
     * Decides on a request while room is short.
     *
     * @param longestReturn longest time after which the caller may be told to return
     */
    public RoomDecision decide(
            ServiceName service, RoomRequest request, long longestReturn, RandomGenerator random, long nowNanos) {
        return service(service).decide(request, longestReturn, random, nowNanos);
    }

    /** Records a request on which other rules decide because room suffices. */
    public void recordUndecided(ServiceName service, RoomRequest request, boolean admitted, long nowNanos) {
        service(service).recordUndecided(request, admitted, nowNanos);
    }

    /** Returns what is known of the service's work. */
    public Observed observed(ServiceName service, int priority) {
        ServiceRoom room = service(service);
        return new Observed(
                room.millisPerOutputToken(),
                room.averageStreamMillis(),
                room.workMillis(),
                room.recentWaitMillis(priority),
                room.fractionAtLeastAsUrgent(priority));
    }

    /** Returns the shares in force. */
    public RoomShare share(ServiceName service, long nowNanos) {
        return service(service).share(nowNanos);
    }

    /** Returns whether the shares in force are those of all daemons together. */
    public boolean isGranted(ServiceName service, long nowNanos) {
        return service(service).isGranted(nowNanos);
    }

    /**
     * What was learned of the work of a service. Times are in milliseconds. Immutable.
     *
     * @param perOutputToken time of a slot for each token of an answer
     * @param averageStream average time of a slot between start and end of an answer
     * @param work time of a slot for a request without a prompt
     * @param recentWait how long requests of the priority waited lately
     * @param fractionAtLeastAsUrgent part of the work that is at least as urgent as the priority
     */
    public record Observed(
            double perOutputToken,
            double averageStream,
            double work,
            double recentWait,
            double fractionAtLeastAsUrgent) {}

    ServiceRoom service(ServiceName service) {
        return services.computeIfAbsent(service, name -> new ServiceRoom());
    }

    Map<ServiceName, ServiceRoom> services() {
        return services;
    }

    RoomAggregator aggregator() {
        return aggregator;
    }
}
