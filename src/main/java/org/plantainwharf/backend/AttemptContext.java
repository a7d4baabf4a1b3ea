package org.plantainwharf.backend;

import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.client.HttpClient;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.EventSink;

/**
 * Dependencies shared by all attempts of this daemon. Immutable; its components are thread-safe.
 *
 * @param pooledClient HTTP client that reuses connections
 * @param singleUseClient HTTP client whose requests each use a new connection
 * @param poolGenerations determines which connections to a server may be reused
 * @param sinks connections of the callers that wait for a streamed response
 * @param maximumAnswerBytes maximum size of a response that is streamed to a caller or kept for a resumed attempt
 */
record AttemptContext(
        HttpClient pooledClient,
        HttpClient singleUseClient,
        PoolGenerations poolGenerations,
        Clock clock,
        EventSink events,
        ResponseSinks sinks,
        MetricRegistry metrics,
        int maximumAnswerBytes) {
    void incrementCounter(String name) {
        metrics.counter(name).inc();
    }
}
