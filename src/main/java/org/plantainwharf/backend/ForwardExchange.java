package org.plantainwharf.backend;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.util.Callback;

/** A caller's request that is passed on, and the way back for its answer. Thread-safe. */
public interface ForwardExchange {
    /** The request's id, as the caller sent it. */
    String requestId();

    /** The request's method. */
    String method();

    /** Path and query as they were sent. */
    String pathQuery();

    /** The headers that are passed on, without the key and without those that only this system may set. */
    List<HttpField> headers();

    /** The whole body, which must not be changed. */
    byte[] body();

    /** Begins the answer; ignored where an earlier attempt has begun it. */
    void begin(int httpStatus, List<HttpField> headers);

    /** Adds bytes to the answer. The callback fails when the caller has left. */
    void write(ByteBuffer bytes, Callback callback);

    /** Ends an answer that is whole. */
    void complete();

    /** Keeps a server's own failure, to be passed on if nothing better comes. */
    void holdFailure(int httpStatus, List<HttpField> headers, byte[] body);

    /** Returns the id of the last whole event that was passed on. */
    Optional<String> lastEventId();

    /** Records the id of the last whole event that was passed on. */
    void setLastEventId(String id);
}
