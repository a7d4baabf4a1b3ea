package org.plantainwharf.standin;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.Consumer;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * The HTTP server of a stand-in. It holds the current fault, simulates faults that concern connections, and provides the
 * {@code POST /fault} endpoint that sets the fault. Thread-safe.
 */
final class StandInHttpServer {
    private static final int MAXIMUM_BODY_BYTES = 4 << 20;

    private final Server server;
    private final ServerConnector connector;
    private final Map<String, Consumer<StandInExchange>> endpoints;
    private final Runnable halt;
    private final Set<EndPoint> connections =
            Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));
    private final Set<EndPoint> silencedConnections =
            Collections.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));
    private volatile StandInFault fault = new StandInFault.None();

    private StandInHttpServer(int port, Map<String, Consumer<StandInExchange>> endpoints, Runnable halt) {
        this.endpoints = endpoints;
        this.halt = halt;
        QueuedThreadPool threads = new QueuedThreadPool(16, 2);
        threads.setDaemon(true);
        server = new Server(threads);
        connector = new ServerConnector(server, 1, 1);
        connector.setHost("127.0.0.1");
        connector.setPort(port);
        server.addConnector(connector);
        server.setHandler(new Endpoints());
    }

    /**
     * Returns a started server.
     *
     * @param endpoints handlers by method and path; a path with a trailing slash matches every path with that prefix
     * @param halt terminates the process to simulate a crash
     * @throws IllegalStateException if the server cannot be started
     */
    static StandInHttpServer start(int port, Map<String, Consumer<StandInExchange>> endpoints, Runnable halt) {
        StandInHttpServer http = new StandInHttpServer(port, endpoints, halt);
        try {
            http.server.start();
        } catch (Exception e) {
            throw new IllegalStateException("stand-in cannot listen on port " + port, e);
        }
        return http;
    }

    String address() {
        return "127.0.0.1:" + connector.getLocalPort();
    }

    StandInFault fault() {
        return fault;
    }

    void setFault(StandInFault value) {
        if (value instanceof StandInFault.Silent) {
            synchronized (connections) {
                silencedConnections.addAll(connections);
            }
        }
        fault = value;
    }

    /** Returns whether a fault suppresses all further output on the connection of a request. */
    boolean isSilenced(StandInExchange exchange) {
        return silencedConnections.contains(exchange.connection());
    }

    void stop() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("stand-in cannot be stopped", e);
        }
    }

    /** Reads the body of each request and dispatches the request to its endpoint. */
    private final class Endpoints extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            EndPoint connection =
                    request.getConnectionMetaData().getConnection().getEndPoint();
            connections.add(connection);
            request.addIdleTimeoutListener(timeout -> false);
            Content.Source.asByteArrayAsync(request, MAXIMUM_BODY_BYTES, new Promise.Invocable<>() {
                @Override
                public void succeeded(byte[] body) {
                    if (!silencedConnections.contains(connection)) {
                        dispatch(StandInExchange.create(request, response, callback, body), request);
                    }
                }

                @Override
                public void failed(Throwable cause) {
                    callback.failed(cause);
                }
            });
            return true;
        }
    }

    private void dispatch(StandInExchange exchange, Request request) {
        String path = String.valueOf(request.getHttpURI().getDecodedPath());
        String call = request.getMethod() + " " + path;
        if (call.equals("POST /fault")) {
            handleFaultRequest(exchange);
            return;
        }
        if (fault instanceof StandInFault.Crash crash && exchange.bodyText().contains(crash.marker())) {
            halt.run();
            return;
        }
        endpoints.entrySet().stream()
                .filter(entry ->
                        entry.getKey().endsWith("/") ? call.startsWith(entry.getKey()) : call.equals(entry.getKey()))
                .findFirst()
                .ifPresentOrElse(
                        entry -> callEndpoint(entry.getValue(), exchange),
                        () -> exchange.reply(404, StandInExchange.newObject().put("error", "no such path")));
    }

    private static void callEndpoint(Consumer<StandInExchange> endpoint, StandInExchange exchange) {
        try {
            endpoint.accept(exchange);
        } catch (RuntimeException e) {
            exchange.reply(400, StandInExchange.newObject().put("error", String.valueOf(e.getMessage())));
        }
    }

    private void handleFaultRequest(StandInExchange exchange) {
        try {
            StandInFault next = StandInFault.parse(exchange.json());
            exchange.reply(200, StandInExchange.newObject().put("fault", next.toString()));
            setFault(next);
        } catch (IllegalArgumentException e) {
            exchange.reply(400, StandInExchange.newObject().put("error", String.valueOf(e.getMessage())));
        }
    }
}
