package org.plantainwharf.backend;

import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.client.HttpClient;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.EventSink;

/**
 * What all attempts of this host share. Immutable; its parts are thread-safe.
 *
 * @param pooledClient reuses connections
 * @param singleUseClient opens a connection for every request
 * @param poolGenerations tells which connections to a server may be reused
 */
record AttemptContext(
        HttpClient pooledClient,
        HttpClient singleUseClient,
        PoolGenerations poolGenerations,
        Clock clock,
        EventSink events,
        AnswerSinks sinks,
        MetricRegistry metrics,
        int maximumAnswerBytes) {
    void incrementCounter(String name) {
        metrics.counter(name).inc();
    }
}
