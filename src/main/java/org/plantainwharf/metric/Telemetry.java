package org.plantainwharf.metric;

import com.codahale.metrics.MetricRegistry;
import org.plantainwharf.log.LogSink;

/** Where components outside the control thread count and log. Immutable; both parts are thread-safe. */
public record Telemetry(MetricRegistry metrics, LogSink log) {}
