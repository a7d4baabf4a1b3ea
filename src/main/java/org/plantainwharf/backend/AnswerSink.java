package org.plantainwharf.backend;

/** Takes the bytes of one answer on their way to its caller. Thread-safe; writes are delivered in the order of calls. */
public interface AnswerSink {
    /** Begins the answer. Later calls for the same answer have no effect, so that a resumed stream stays one answer. */
    void begin(int httpStatus, String mediaType);

    /**
     * Writes bytes, which the writer does not change afterwards.
     *
     * @param onWritten run once the connection has taken the bytes, or dropped them because the caller left
     */
    void write(byte[] bytes, Runnable onWritten);
}
