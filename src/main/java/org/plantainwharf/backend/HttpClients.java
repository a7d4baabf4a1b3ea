package org.plantainwharf.backend;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Starts HTTP clients that add nothing to requests and leave answers as they are. Stateless and thread-safe. */
public final class HttpClients {
    /** A healthy server in the same region accepts within a few milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private static final int MAXIMUM_CONNECTIONS_PER_SERVER = 1_024;

    private HttpClients() {}

    /**
     * Returns a started client.
     *
     * @param name names its threads
     * @param idleTimeoutMillis how long an unused connection is kept
     * @throws IllegalStateException if it cannot be started
     */
    public static HttpClient start(String name, int maximumThreads, long idleTimeoutMillis) {
        ClientConnector connector = new ClientConnector() {
            @Override
            protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
                return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
            }
        };
        connector.setSelectors(1);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        QueuedThreadPool threads = new QueuedThreadPool(maximumThreads, Math.min(4, maximumThreads));
        threads.setName(name);
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setName(name);
        client.setFollowRedirects(false);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setIdleTimeout(idleTimeoutMillis);
        client.setDestinationIdleTimeout(2 * idleTimeoutMillis);
        client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS_PER_SERVER);
        client.setUserAgentField(null);
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("HTTP client cannot be started", e);
        }
        client.getProtocolHandlers().clear();
        client.getContentDecoderFactories().clear();
        return client;
    }
}
