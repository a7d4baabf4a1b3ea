package org.plantainwharf.front;

import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;

/** Watches whether a caller closes its connection while its request is handled. Stateless and thread-safe. */
final class DisconnectWatch {
    private DisconnectWatch() {}

    /** Runs a task once if the caller leaves. For a request whose body has been read. */
    static void start(Request request, Runnable onDisconnect) {
        request.addIdleTimeoutListener(timeout -> false);
        request.addFailureListener(cause -> onDisconnect.run());
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof WatchedEndPoint endPoint
                && !request.getConnectionMetaData().getHttpVersion().equals(HttpVersion.HTTP_2)) {
            endPoint.watch(onDisconnect);
        }
    }

    /** Ends the watch. To be called before the answer's last byte is written. */
    static void stop(Request request) {
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof WatchedEndPoint endPoint) {
            endPoint.stopWatching();
        }
    }
}
