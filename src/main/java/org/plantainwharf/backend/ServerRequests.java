package org.plantainwharf.backend;

import java.net.URI;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/** Creates requests whose targets are sent as callers wrote them. Stateless and thread-safe. */
final class ServerRequests {
    private ServerRequests() {}

    /**
     * Returns a request.
     *
     * @param address IP address and port
     * @param pathQuery path and query, which begin with a slash
     */
    static Request create(HttpClient client, String address, String pathQuery) {
        String server = "http://" + address;
        // Request.path() takes what follows two slashes for an authority and drops it.
        return pathQuery.startsWith("//")
                ? client.newRequest(URI.create(server + pathQuery))
                : client.newRequest(URI.create(server)).path(pathQuery);
    }
}
