package org.plantainwharf.front;

import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;

/** Watches whether a caller closes its connection while its request is handled. Stateless and thread-safe. */
final class CallerWatch {
    private CallerWatch() {}

    /** Runs a task once if the caller leaves. For a request whose body has been read. */
    static void begin(Request request, Runnable left) {
        request.addIdleTimeoutListener(timeout -> false);
        request.addFailureListener(cause -> left.run());
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof WatchedEndPoint endPoint
                && !request.getConnectionMetaData().getHttpVersion().equals(HttpVersion.HTTP_2)) {
            endPoint.watch(left);
        }
    }

    /** Ends the watch. To be called before the answer's last byte is written. */
    static void end(Request request) {
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof WatchedEndPoint endPoint) {
            endPoint.stopWatching();
        }
    }
}
