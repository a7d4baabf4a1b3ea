package org.plantainwharf.metric;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.error.ErrorKind;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against errors and retries that are not counted, or whose counters are absent until the first one occurs. */
class CountersTest {
    @Nested
    class NewCounters {
        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void showZeroForEachErrorKind(ErrorKind kind) {
            MetricRegistry registry = new MetricRegistry();
            Counters.create(registry);
            assertTrue(registry.getCounters().containsKey(kind.metricName()));
        }
    }

    @Nested
    class RetryReasons {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "connect_failed",
                    "refused",
                    "refused_leaving",
                    "server_error",
                    "connection_lost",
                    "connection_silent",
                    "answer_crossed",
                    "answer_truncated"
                })
        void showZero(String code) {
            MetricRegistry registry = new MetricRegistry();
            Counters.create(registry);
            assertTrue(registry.getCounters().containsKey("retries." + code));
        }
    }

    @Nested
    class Effects {
        @Test
        void addTheirAmount() {
            Counters counters = Counters.create(new MetricRegistry());
            counters.execute(CountEffect.one(ErrorKind.DRAINING.metricName()));
            counters.execute(new CountEffect(ErrorKind.DRAINING.metricName(), 4));
            counters.execute(CountEffect.one("retries.connect_failed"));
            assertEquals(5, counters.count(ErrorKind.DRAINING.metricName()));
            assertEquals(1, counters.count("retries.connect_failed"));
            assertEquals(0, counters.count("unknown"));
        }
    }
}
