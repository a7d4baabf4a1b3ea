package org.plantainwharf.platform;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.daemon.RoleSettings;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.HostId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a daemon with wrong addresses or initial voters, against a drain that outlasts the grace period, and
 * against problems in the settings that are not reported.
 */
class PlatformSettingsTest {
    private static final String COMMON = """
            "ip": "10.1.0.14", "zone": "zone-a", "internal_port_range": [7600, 7615], "bootstrap": true,
            "seed_nodes": ["10.1.0.16:8229", "10.2.0.6:8229", "10.3.0.36:8229"], "something_new": {"x": 1},
            "bounds": {"grace_s": 8, "retry_budget_ratio": 0.2, "retry_budget_floor": 54, "report_window_s": 5,
                       "usage_late_s": 10, "quota_window_s": 8, "quota_overrun": 0.1, "quota_slack": 140000},
            "cloud_api": {"address": "10.200.0.35:8225"}
            """;
    private static final String ENTRY = "{\"node_name\": \"edge-1\", \"listen\": {\"frontend\": \"10.1.0.14:8221\","
            + " \"ready\": \"10.1.0.14:8224\"}, " + COMMON + "}";
    private static final String CONTROL = "{\"node_name\": \"core-1\", \"data_dir\": \"/data\","
            + " \"listen\": {\"control_plane\": \"10.1.0.16:8229\"}, " + COMMON + "}";

    @Nested
    class EntryRole {
        private final RoleSettings role =
                RoleSettingsMapper.toRoleSettings(PlatformSettings.parse(ENTRY).get());

        @Test
        void listensForCallersAndForReadinessChecks() {
            assertEquals("10.1.0.14:8221", role.settings().callerAddress());
            assertEquals("10.1.0.14:8224", role.readyAddress());
            assertEquals(Optional.empty(), role.settings().dataFolder());
        }

        @Test
        void connectsToTheSeedsOnTheLinkPort() {
            assertEquals("10.2.0.6:7600", role.seeds().get(HostId.of("10.2.0.6:8229")));
        }

        @Test
        void finishesDrainingWithinTheGracePeriod() {
            long used = role.settings().timings().drainNoticeMillis()
                    + role.settings().timings().drainLimitMillis();
            assertTrue(used < 8_000, "drains for " + used + " ms of a grace period of 8000 ms");
        }
    }

    @Nested
    class ControlRole {
        private final RoleSettings role = RoleSettingsMapper.toRoleSettings(
                PlatformSettings.parse(CONTROL).get());

        @Test
        void usesItsControlAddressAsHostIdAndTheSeedsAsInitialVoters() {
            assertEquals(HostId.of("10.1.0.16:8229"), role.settings().host());
            assertEquals(
                    List.of(HostId.of("10.1.0.16:8229"), HostId.of("10.2.0.6:8229"), HostId.of("10.3.0.36:8229")),
                    role.initialVoters().stream()
                            .sorted((a, b) -> a.value().compareTo(b.value()))
                            .toList());
        }

        @Test
        void hasNoInitialVotersAfterTheFirstStart() {
            PlatformSettings later = PlatformSettings.parse(
                            CONTROL.replace("\"bootstrap\": true", "\"bootstrap\": false"))
                    .get();
            assertEquals(List.of(), RoleSettingsMapper.toRoleSettings(later).initialVoters());
        }
    }

    @Nested
    class Problems {
        @Test
        void areReportedTogether() {
            Failure failure =
                    PlatformSettings.parse("{\"ip\": 5, \"zone\": \"zone-a\"}").getLeft();
            String message = failure.message();
            assertTrue(message.contains("node_name") && message.contains("ip ") && message.contains("listen"), message);
        }

        @Test
        void ofTextThatIsNotJsonAreReported() {
            assertTrue(PlatformSettings.parse("node_name = 5").isLeft());
            assertTrue(PlatformSettings.parse("[]").isLeft());
        }
    }
}
