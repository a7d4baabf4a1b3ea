package org.plantainwharf.backend;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** A caller that receives everything at once. Thread-safe. */
final class RecordingExchange implements ForwardExchange {
    private final String requestId;
    private final String pathQuery;
    private final StringBuffer received = new StringBuffer();
    private final CountDownLatch firstBytes = new CountDownLatch(1);
    private volatile boolean open = true;

    private RecordingExchange(String requestId, String pathQuery) {
        this.requestId = requestId;
        this.pathQuery = pathQuery;
    }

    static RecordingExchange create(String requestId) {
        return create(requestId, "/x/1");
    }

    static RecordingExchange create(String requestId, String pathQuery) {
        return new RecordingExchange(requestId, pathQuery);
    }

    /** Returns the part of the response body that has been received. */
    String received() {
        return received.toString();
    }

    /** Waits until bytes have been received, for ten seconds at most. */
    void awaitBytes() throws InterruptedException {
        firstBytes.await(10, TimeUnit.SECONDS);
    }

    @Override
    public String requestId() {
        return requestId;
    }

    @Override
    public String method() {
        return "GET";
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
    public byte[] body() {
        return new byte[0];
    }

    void close() {
        open = false;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public void begin(int httpStatus, List<HttpField> headers) {}

    @Override
    public void write(ByteBuffer bytes, Callback callback) {
        received.append(BufferUtil.toString(bytes, StandardCharsets.US_ASCII));
        firstBytes.countDown();
        callback.succeeded();
    }

    @Override
    public void complete() {}

    @Override
    public void recordFailureResponse(int httpStatus, List<HttpField> headers, byte[] body) {}

    @Override
    public Optional<String> lastEventId() {
        return Optional.empty();
    }

    @Override
    public void setLastEventId(String id) {}
}
