package org.plantainwharf.backend;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.util.Callback;

/** A caller's request that is forwarded to a server, and the response to that caller. Thread-safe. */
public interface ForwardExchange {
    /** Returns the request id that the caller sent. */
    String requestId();

    /** Returns the HTTP method of the request. */
    String method();

    /** Returns path and query as the caller sent them. */
    String pathQuery();

    /** Returns the headers to forward, without the account key and the headers that only this system may set. */
    List<HttpField> headers();

    /** Returns the header with the account key as the caller sent it; empty if it sent none. */
    Optional<String> authorization();

    /** Returns the complete body. The array must not be changed. */
    byte[] body();

    /** Returns whether the caller still waits for the response or its rest. */
    boolean isOpen();

    /**
     * Begins the response. Its head is sent with the first part of the body, or at the end; until then a later attempt
     * may begin it anew.
     */
    void begin(int httpStatus, List<HttpField> headers);

    /** Writes part of the response body. The callback fails if the caller has disconnected. */
    void write(ByteBuffer bytes, Callback callback);

    /** Completes the response after its last byte was written. */
    void complete();

    /** Records an error response of a server. It is sent to the caller if no further attempt succeeds. */
    void recordFailureResponse(int httpStatus, List<HttpField> headers, byte[] body);

    /** Returns the id of the last complete event that was written to the caller, or empty if there is none. */
    Optional<String> lastEventId();

    /** Records the id of the last complete event that was written to the caller. */
    void setLastEventId(String id);
}
