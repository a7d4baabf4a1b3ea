package org.plantainwharf.front;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.plantainwharf.control.Clock;
import org.plantainwharf.settings.Settings;

/** A Jetty server on one address, with the limits and the error format of this system. Thread-safe. */
public final class HttpListener {
    private static final int MAXIMUM_THREADS = 32;
    private static final long IDLE_TIMEOUT_MILLIS = 30_000;

    private final Server server;
    private final ServerConnector connector;
    private final String address;
    private final HttpConfiguration configuration;
    private final AtomicReference<HeaderLimit> headerLimit;

    private HttpListener(
            Server server,
            ServerConnector connector,
            String address,
            HttpConfiguration configuration,
            AtomicReference<HeaderLimit> headerLimit) {
        this.address = address;
        this.configuration = configuration;
        this.headerLimit = headerLimit;
        this.server = server;
        this.connector = connector;
    }

    /**
     * Returns a listener that has not been started.
     *
     * @param name prefix of the names of the threads
     * @param address IP address and port; with port 0 the operating system chooses one
     * @param http2 whether HTTP/2 cleartext is served as well as HTTP/1.1
     * @param answers receives the answers that the HTTP library gives by itself
     */
    public static HttpListener create(
            String name,
            String address,
            boolean http2,
            Settings.Bounds bounds,
            Handler handler,
            LibraryAnswers answers) {
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, 4);
        threads.setName(name);
        Server server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        // Ambiguous path encodings are accepted on all ports. Forwarded paths are matched and sent on as received;
        // other ports compare the decoded path with the paths that they serve.
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        configuration.setRequestHeaderSize(bounds.maximumHeaderBytes());
        AtomicReference<HeaderLimit> headerLimit =
                new AtomicReference<>(new HeaderLimit.InForce(bounds.maximumHeaderBytes()));
        HttpConnectionFactory http1 = new HttpConnectionFactory(configuration);
        ConnectionFactory[] factories = http2
                ? new ConnectionFactory[] {http1, new HTTP2CServerConnectionFactory(configuration)}
                : new ConnectionFactory[] {http1};
        ServerConnector connector = new ServerConnector(server, 1, 1, factories) {
            @Override
            protected SocketChannelEndPoint newEndPoint(
                    SocketChannel channel, ManagedSelector selector, SelectionKey key) {
                SocketChannelEndPoint endPoint = WatchedEndPoint.create(
                        channel,
                        selector,
                        key,
                        getScheduler(),
                        getExecutor(),
                        Objects.requireNonNull(headerLimit.get()));
                endPoint.setIdleTimeout(getIdleTimeout());
                return endPoint;
            }
        };
        int colon = address.lastIndexOf(':');
        connector.setHost(address.substring(0, colon));
        connector.setPort(Integer.parseInt(address.substring(colon + 1)));
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
        server.setHandler(UnreadBodyHandler.create(handler, Clock.system()));
        server.setErrorHandler(JsonErrorHandler.create(headerLimit::get, answers));
        // A drain ends only when no request is running, so connections are closed without waiting for their callers.
        server.setStopTimeout(0);
        return new HttpListener(server, connector, address, configuration, headerLimit);
    }

    Server server() {
        return server;
    }

    /**
     * Starts listening.
     *
     * @throws IllegalStateException if the address cannot be bound
     */
    public void start() {
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException("cannot listen on " + address, e);
        }
    }

    /** Returns the bound port, which the operating system chose if port 0 was configured. */
    public int port() {
        return connector.getLocalPort();
    }

    /** Sets the idle time-out of new connections; open connections keep theirs. */
    public void setIdleTimeoutMillis(long timeoutMillis) {
        connector.setIdleTimeout(timeoutMillis);
    }

    /** Sets the limit on heads of new connections; open connections keep theirs. */
    void setHeaderLimit(HeaderLimit limit) {
        // In this order no connection is taken to have a larger limit than it has.
        configuration.setRequestHeaderSize(limit.bytes());
        headerLimit.set(limit);
    }

    /** Closes all connections and stops listening. */
    public void stop() throws Exception {
        server.stop();
    }
}
