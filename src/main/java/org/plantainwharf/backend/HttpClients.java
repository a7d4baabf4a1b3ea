package org.plantainwharf.backend;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.client.ContinueProtocolHandler;
import org.eclipse.jetty.client.EarlyHintsProtocolHandler;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Creates HTTP clients for proxying. They add no header to requests beyond those that frame the message, keep nothing of an
 * exchange for later ones, follow no redirects and do not interpret or decode responses (docs/decisions/018). Stateless
 * and thread-safe.
 */
public final class HttpClients {
    /** Servers are in the same region; a healthy one accepts a connection within a few milliseconds. */
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private static final int MAXIMUM_CONNECTIONS_PER_SERVER = 1_024;

    /** Above every limit on the heads of callers, which bounds what is sent on with the headers added here. */
    private static final int MAXIMUM_REQUEST_HEAD_BYTES = 1 << 20;

    private HttpClients() {}

    /**
     * Creates and starts a client.
     *
     * @param name name of the client and prefix of its thread names
     * @param idleTimeoutMillis time after which an unused connection is closed
     * @throws IllegalStateException if the client cannot be started
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
        client.setByteBufferPool(BufferViewPool.create());
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setIdleTimeout(idleTimeoutMillis);
        client.setDestinationIdleTimeout(2 * idleTimeoutMillis);
        client.setMaxConnectionsPerDestination(MAXIMUM_CONNECTIONS_PER_SERVER);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setUserAgentField(null);
        client.setDefaultRequestContentType(null);
        client.setMaxRequestHeadersSize(MAXIMUM_REQUEST_HEAD_BYTES);
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("HTTP client could not be started", e);
        }
        client.getProtocolHandlers().clear();
        // Interim responses come before the response and are no part of it.
        client.getProtocolHandlers().put(new ContinueProtocolHandler());
        client.getProtocolHandlers().put(new ProcessingProtocolHandler());
        client.getProtocolHandlers().put(new EarlyHintsProtocolHandler());
        client.getContentDecoderFactories().clear();
        return client;
    }
}
