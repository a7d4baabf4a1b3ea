package org.plantainwharf.backend;

/** Writes the response of one request to its caller. Thread-safe; writes are delivered in the order of calls. */
public interface ResponseSink {
    /** Begins the response. Further calls have no effect, so that a resumed stream remains one response. */
    void begin(int httpStatus, String mediaType);

    /**
     * Writes part of the body. The array must not be changed after this call.
     *
     * @param onWritten run once the connection has accepted the bytes, or discarded them because the caller
     *     disconnected
     */
    void write(byte[] bytes, Runnable onWritten);
}
