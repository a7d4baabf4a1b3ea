package org.plantainwharf.transport;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.plantainwharf.message.PeerMessage;

/**
 * Counts messages and their bytes by kind, as {@code PREFIX.KIND.messages} and {@code PREFIX.KIND.bytes}. The bytes are those
 * of the frame, without its length prefix and without the contents that it only refers to. Thread-safe.
 */
final class KindMeters {
    private final MetricRegistry registry;
    private final String prefix;
    private final Map<Class<? extends PeerMessage>, Meter> meters = new ConcurrentHashMap<>();

    private record Meter(Counter messages, Counter bytes) {}

    private KindMeters(MetricRegistry registry, String prefix) {
        this.registry = registry;
        this.prefix = prefix;
    }

    static KindMeters of(MetricRegistry registry, String prefix) {
        return new KindMeters(registry, prefix);
    }

    void add(PeerMessage message, int bytes) {
        Meter meter = meters.computeIfAbsent(message.getClass(), this::create);
        meter.messages().inc();
        meter.bytes().inc(bytes);
    }

    private Meter create(Class<? extends PeerMessage> type) {
        String name = prefix + "." + type.getSimpleName();
        return new Meter(registry.counter(name + ".messages"), registry.counter(name + ".bytes"));
    }
}
