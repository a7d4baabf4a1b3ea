package org.plantainwharf.front;

import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;

/** Detects that a caller closes its connection while its request is being handled. Stateless; thread-safe. */
final class DisconnectWatch {
    private DisconnectWatch() {}

    /**
     * Starts the watch. To be called once the body of the request has been read. An idle time-out does not count as a
     * disconnect.
     *
     * @param onDisconnect run when the caller closes the connection or resets the stream; must be idempotent, since two
     *     listeners may run it
     */
    static void start(Request request, Runnable onDisconnect) {
        request.addIdleTimeoutListener(timeout -> false);
        request.addFailureListener(cause -> onDisconnect.run());
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof WatchedEndPoint endPoint
                && !request.getConnectionMetaData().getHttpVersion().equals(HttpVersion.HTTP_2)) {
            endPoint.watch(onDisconnect);
        }
    }

    /** Stops the watch. To be called before the last byte of the answer is written. */
    static void stop(Request request) {
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof WatchedEndPoint endPoint) {
            endPoint.stopWatching();
        }
    }
}
