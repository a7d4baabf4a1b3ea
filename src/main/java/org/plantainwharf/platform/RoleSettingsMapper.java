package org.plantainwharf.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.plantainwharf.daemon.RoleSettings;
import org.plantainwharf.forward.ForwardLimits;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.settings.Settings;

/** Maps the platform's settings to the settings of a daemon in its role. Stateless. */
final class RoleSettingsMapper {
    /** The load balancer checks readiness once a second and removes a daemon after two failed checks. */
    private static final long DRAIN_NOTICE_MILLIS = 2_500;

    /** Part of the grace period that is reserved for closing files and connections. */
    private static final long CLOSE_RESERVE_MILLIS = 1_000;

    /** Drain time of a control daemon, which has no callers and only waits for the transfer of its leadership. */
    private static final long LEADERSHIP_TRANSFER_MILLIS = 300;

    private static final long LINK_TIMEOUT_MILLIS = 1_500;

    /** Largest request body and headers that are accepted until a service document sets its own limits. */
    private static final int MAXIMUM_BODY_BYTES = 8 << 20;

    private static final int MAXIMUM_HEADER_BYTES = 32 << 10;
    private static final int EVENT_QUEUE_CAPACITY = 10_000;
    private static final int SNAPSHOT_ENTRIES = 256;

    /**
     * The platform's retry budget covers all daemons together, and no daemon knows how many there are. Each applies the
     * budget's ratio to its own requests, reduced by this factor for requests that are counted elsewhere, and adds a fixed
     * fraction of the budget's floor.
     */
    private static final double RETRY_RATIO_FACTOR = 0.75;

    private static final double RETRY_FLOOR_FRACTION = 0.05;

    private RoleSettingsMapper() {}

    static RoleSettings toRoleSettings(PlatformSettings platform) {
        Map<HostId, String> seeds = new LinkedHashMap<>();
        platform.seeds().forEach(seed -> seeds.put(HostId.of(seed), linkAddress(seed, platform.linkPort())));
        HostId host = HostId.of(platform.controlAddress().orElse(platform.nodeName()));
        boolean control = platform.controlAddress().isPresent();
        long gracePeriodMillis = platform.bounds().gracePeriodMillis();
        AvailabilityZone zone = AvailabilityZone.of(platform.zone());
        Settings settings = new Settings(
                host,
                zone,
                HostClass.of(control ? "control" : "entry"),
                platform.callerAddress().orElse(""),
                platform.controlAddress().orElse(""),
                platform.ip() + ":" + platform.linkPort(),
                platform.dataFolder(),
                seeds.entrySet().stream()
                        .map(seed -> new Settings.HostEntry(seed.getKey(), zone, seed.getValue(), true))
                        .toList(),
                0,
                new Settings.Timings(
                        control ? LEADERSHIP_TRANSFER_MILLIS : DRAIN_NOTICE_MILLIS,
                        control
                                ? LEADERSHIP_TRANSFER_MILLIS
                                : Math.max(0, gracePeriodMillis - DRAIN_NOTICE_MILLIS - CLOSE_RESERVE_MILLIS),
                        Settings.Timings.defaults().serverLeaseMillis(),
                        LINK_TIMEOUT_MILLIS,
                        Settings.Timings.defaults().urgentSilenceMillis(),
                        Settings.Timings.defaults().longSilenceMillis()),
                new Settings.Bounds(
                        MAXIMUM_BODY_BYTES,
                        MAXIMUM_HEADER_BYTES,
                        Settings.Bounds.defaults().maximumAnswerBytes(),
                        EVENT_QUEUE_CAPACITY,
                        Settings.Bounds.defaults().accountQueueCapacity(),
                        Settings.Bounds.defaults().rankQueueCapacity(),
                        SNAPSHOT_ENTRIES));
        return new RoleSettings(
                settings,
                seeds,
                platform.linkPort(),
                platform.bootstrap() ? List.copyOf(seeds.keySet()) : List.of(),
                platform.bounds().usageWindowMillis(),
                platform.bounds().usageReportDeadlineMillis(),
                platform.bounds().dutyLeaseMillis(),
                new ForwardLimits(
                        platform.bounds().retryBudgetRatio() * RETRY_RATIO_FACTOR,
                        platform.bounds().retryBudgetFloor() * RETRY_FLOOR_FRACTION,
                        platform.bounds().limitWindowSeconds(),
                        platform.bounds().limitOverrun(),
                        platform.bounds().limitSlack()),
                platform.bounds().rollouts(),
                platform.sharesRoom(),
                platform.ip() + ":" + platform.metricsPort(),
                platform.readyAddress().orElse(""),
                WireNames.READY_PATH);
    }

    private static String linkAddress(String controlAddress, int linkPort) {
        return controlAddress.substring(0, controlAddress.lastIndexOf(':')) + ":" + linkPort;
    }
}
