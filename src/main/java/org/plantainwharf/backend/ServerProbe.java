package org.plantainwharf.backend;

import java.net.ConnectException;
import java.net.URI;
import java.util.Optional;
import java.util.function.Consumer;

import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.Promise;

/** Finds out whether a server's process exists, by a connection without a request. Stateless; thread-safe. */
final class ServerProbe {
    private ServerProbe() {}

    /**
     * Opens a connection to a server and closes it.
     *
     * @param address IP address and port
     * @param onResult receives whether the connection was refused; any other result does not tell whether the process
     *     exists. Run on a thread of the client
     */
    static void send(HttpClient client, String address, Consumer<Boolean> onResult) {
        connect(
                client,
                address,
                cause -> onResult.accept(cause.isPresent() && cause.get() instanceof ConnectException));
    }

    /**
     * Opens a connection to a server and closes it.
     *
     * @param onResult receives whether it could be opened. Run on a thread of the client
     */
    static void open(HttpClient client, String address, Consumer<Boolean> onResult) {
        connect(client, address, cause -> onResult.accept(cause.isEmpty()));
    }

    private static void connect(HttpClient client, String address, Consumer<Optional<Throwable>> onEnd) {
        client.resolveDestination(client.newRequest(URI.create("http://" + address)))
                .newConnection(new Promise<>() {
                    @Override
                    public void succeeded(Connection connection) {
                        connection.close();
                        onEnd.accept(Optional.empty());
                    }

                    @Override
                    public void failed(Throwable cause) {
                        onEnd.accept(Optional.of(cause));
                    }
                });
    }
}
