package org.plantainwharf.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.settings.Settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against pairs whose ends disagree on their link, and against too many links per daemon at the planned size.
 */
class LinkPlanTest {
    private static final int VOTERS = 5;

    private static List<Settings.HostEntry> hosts(int count, int zones) {
        List<Settings.HostEntry> hosts = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            hosts.add(new Settings.HostEntry(
                    HostId.of(String.format("host-%03d", index)),
                    AvailabilityZone.of("zone-" + index % zones),
                    "127.0.0.1:1",
                    index < VOTERS));
        }
        return hosts;
    }

    @Nested
    class FullMesh {
        @Test
        void everyPairHasALink() {
            List<Settings.HostEntry> hosts = hosts(9, 4);
            for (Settings.HostEntry host : hosts) {
                assertEquals(
                        hosts.size() - 1,
                        LinkPlan.of(host.host(), hosts).peers().size());
            }
        }

        @Test
        void oneEndOpensTheLink() {
            assertTrue(LinkPlan.opensLink(HostId.of("a"), HostId.of("b")));
            assertFalse(LinkPlan.opensLink(HostId.of("b"), HostId.of("a")));
        }

        @Test
        void hostThatIsNotConfiguredIsRefused() {
            assertThrows(IllegalArgumentException.class, () -> LinkPlan.of(HostId.of("stranger"), hosts(9, 4)));
        }
    }

    @Nested
    class PartialMesh {
        private static final int DAEMONS = 370;
        private static final int ZONES = 8;

        private final List<Settings.HostEntry> hosts = hosts(DAEMONS, ZONES);
        private final Map<HostId, LinkPlan> plans = hosts.stream()
                .map(Settings.HostEntry::host)
                .collect(Collectors.toMap(Function.identity(), host -> LinkPlan.of(host, hosts)));

        private LinkPlan plan(HostId host) {
            return Objects.requireNonNull(plans.get(host));
        }

        @Test
        void bothEndsAgree() {
            plans.forEach((host, plan) ->
                    plan.peers().forEach(peer -> assertTrue(plan(peer).peers().contains(host), host + " and " + peer)));
        }

        @Test
        void daemonIsLinkedWithItsZoneTheVotersAndTheRelays() {
            int zoneMesh = DAEMONS / ZONES + 1;
            int relays = LinkPlan.RELAYS_PER_ZONE * ZONES;
            for (Settings.HostEntry host : hosts) {
                int links = plan(host.host()).peers().size();
                assertTrue(host.voter() || links <= zoneMesh + VOTERS + relays, host + " has " + links);
            }
        }

        @Test
        void everyZoneIsReachedThroughTwoRelays() {
            Settings.HostEntry relay = hosts.stream()
                    .filter(host -> !host.voter())
                    .filter(host -> plan(host.host()).peers().size() > DAEMONS / ZONES + VOTERS + 1)
                    .findFirst()
                    .orElseThrow();
            Map<AvailabilityZone, Long> reached = hosts.stream()
                    .filter(host -> !host.voter() && plan(relay.host()).peers().contains(host.host()))
                    .collect(Collectors.groupingBy(Settings.HostEntry::zone, Collectors.counting()));
            assertEquals(ZONES, reached.size());
            assertTrue(
                    reached.values().stream().allMatch(count -> count >= LinkPlan.RELAYS_PER_ZONE), reached::toString);
        }
    }
}
