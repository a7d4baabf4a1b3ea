package org.plantainwharf.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.settings.Settings;

/** One daemon's membership and server registry on a virtual clock of its own. */
final class SimulatedHost {
    private final HostId host;
    private final AvailabilityZone zone;
    private final long clockOffsetNanos;
    private final ControlCycle cycle;
    private final List<Event> inbox = new ArrayList<>();
    private long frozenUntilNanos = Long.MIN_VALUE;

    SimulatedHost(
            HostId host, List<Settings.HostEntry> hosts, LeaseStart leaseStart, long clockOffsetNanos, long seed) {
        this.host = host;
        this.zone = hosts.stream()
                .filter(entry -> entry.host().equals(host))
                .findFirst()
                .orElseThrow()
                .zone();
        this.clockOffsetNanos = clockOffsetNanos;
        Settings settings = new Settings(
                host,
                zone,
                HostClass.of("small"),
                "127.0.0.1:0",
                "127.0.0.1:0",
                "127.0.0.1:0",
                Optional.empty(),
                hosts,
                1,
                Settings.Timings.defaults(),
                Settings.Bounds.defaults());
        cycle = ControlCycle.create(
                Board.create(settings, seed, seed),
                List.of(MembershipController.create(), ServerController.create(leaseStart)));
    }

    HostId host() {
        return host;
    }

    AvailabilityZone zone() {
        return zone;
    }

    Board board() {
        return cycle.board();
    }

    /** Freezes the process: events that arrive are queued until then. */
    void freezeUntil(long globalNanos) {
        frozenUntilNanos = globalNanos;
    }

    boolean frozen(long globalNanos) {
        return globalNanos < frozenUntilNanos;
    }

    void receive(Event event) {
        inbox.add(event);
    }

    /** Handles the queued events and a tick, unless frozen, and returns the effects. */
    List<Effect> step(long globalNanos) {
        List<Effect> effects = new ArrayList<>();
        if (!frozen(globalNanos)) {
            inbox.forEach(event -> effects.addAll(handle(event, globalNanos)));
            inbox.clear();
            effects.addAll(handle(new TimerEvent.Tick(), globalNanos));
        }
        return effects;
    }

    /** Handles one event immediately, also while frozen. */
    List<Effect> handle(Event event, long globalNanos) {
        return cycle.run(event, globalNanos + clockOffsetNanos, 0);
    }

    boolean acceptsNewWork(ServerId server, long globalNanos) {
        return board().servers()
                .server(server)
                .map(entry -> entry.acceptsNewWork(globalNanos + clockOffsetNanos))
                .orElse(false);
    }

    /** Returns the end of a valid lease in global time, or empty if the lease is not valid. */
    Optional<Long> leaseEnd(ServerEntry entry, long globalNanos) {
        return entry.leaseValid(globalNanos + clockOffsetNanos)
                ? Optional.of(entry.leaseUntilNanos() - clockOffsetNanos)
                : Optional.empty();
    }
}
