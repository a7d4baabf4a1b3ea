package org.plantainwharf.backend;

import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.client.HttpClient;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.EventSink;

/**
 * What all attempts of this host share. Immutable; its parts are thread-safe.
 *
 * @param pooled reuses connections
 * @param direct opens a connection for every request
 * @param pools tells which connections to a server may be reused
 */
record AttemptContext(
        HttpClient pooled,
        HttpClient direct,
        ConnectionPools pools,
        Clock clock,
        EventSink events,
        AnswerSinks sinks,
        MetricRegistry metrics,
        int maximumAnswerBytes) {
    void count(String name) {
        metrics.counter(name).inc();
    }
}
