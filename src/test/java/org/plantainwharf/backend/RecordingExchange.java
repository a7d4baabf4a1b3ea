package org.plantainwharf.backend;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** A caller that receives everything at once. Thread-safe. */
final class RecordingExchange implements ForwardExchange {
    private final String requestId;
    private final String pathQuery;
    private final byte[] body;
    private final StringBuffer received = new StringBuffer();
    private final CountDownLatch firstBytes = new CountDownLatch(1);
    private volatile boolean open = true;
    private volatile boolean complete;
    private volatile int failureStatus;
    private volatile Runnable onBegin = () -> {};
    private volatile Runnable onWrite = () -> {};

    private RecordingExchange(String requestId, String pathQuery, byte[] body) {
        this.requestId = requestId;
        this.pathQuery = pathQuery;
        this.body = body;
    }

    static RecordingExchange create(String requestId) {
        return create(requestId, "/x/1");
    }

    static RecordingExchange create(String requestId, String pathQuery) {
        return new RecordingExchange(requestId, pathQuery, new byte[0]);
    }

    static RecordingExchange withBody(String requestId, int bytes) {
        return new RecordingExchange(requestId, "/x/1", new byte[bytes]);
    }

    /** Runs a task whenever the response begins, on the thread that begins it. */
    void onBegin(Runnable task) {
        onBegin = task;
    }

    /** Runs a task whenever a part of the body is written, on the thread that writes it and before its callback. */
    void onWrite(Runnable task) {
        onWrite = task;
    }

    /** Returns whether the response was ended as a complete one. */
    boolean isComplete() {
        return complete;
    }

    /** Returns the status of the error response that was recorded; 0 if there is none. */
    int failureStatus() {
        return failureStatus;
    }

    /** Returns the part of the response body that has been received. */
    String received() {
        return received.toString();
    }

    /** Waits until bytes have been received, for ten seconds at most. */
    void awaitBytes() throws InterruptedException {
        firstBytes.await(10, TimeUnit.SECONDS);
    }

    /** Waits until bytes have been received, for this time at most. */
    void awaitBytes(long millis) throws InterruptedException {
        firstBytes.await(millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public String requestId() {
        return requestId;
    }

    @Override
    public String method() {
        return body.length == 0 ? "GET" : "POST";
    }

    @Override
    public String pathQuery() {
        return pathQuery;
    }

    @Override
    public List<HttpField> headers() {
        return List.of(new HttpField("X-Id", requestId), new HttpField("Host", "a.example"));
    }

    @Override
    public Optional<String> authorization() {
        return Optional.empty();
    }

    @Override
    public byte[] body() {
        return body;
    }

    void close() {
        open = false;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public void begin(int httpStatus, List<HttpField> headers) {
        onBegin.run();
    }

    @Override
    public void write(ByteBuffer bytes, Callback callback) {
        received.append(BufferUtil.toString(bytes, StandardCharsets.US_ASCII));
        firstBytes.countDown();
        onWrite.run();
        if (open) {
            callback.succeeded();
        } else {
            callback.failed(new EofException("the caller has left"));
        }
    }

    @Override
    public void complete() {
        complete = true;
    }

    @Override
    public void recordFailureResponse(int httpStatus, List<HttpField> headers, byte[] failureBody) {
        failureStatus = httpStatus;
    }

    @Override
    public Optional<String> lastEventId() {
        return Optional.empty();
    }

    @Override
    public void setLastEventId(String id) {}
}
