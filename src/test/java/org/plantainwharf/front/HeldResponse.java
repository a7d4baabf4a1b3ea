package org.plantainwharf.front;

import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicReference;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A response whose first use at one point runs a task, such as one that waits or one that lets another operation happen
 * there. Thread-safe.
 */
final class HeldResponse extends Response.Wrapper {
    /** Where a response is used. */
    enum Point {
        STATUS,
        HEADERS,
        WRITE
    }

    private final Point point;
    private final AtomicReference<Runnable> task = new AtomicReference<>(() -> {});

    private HeldResponse(Response response, Point point) {
        super(response.getRequest(), response);
        this.point = point;
    }

    static HeldResponse create(Response response, Point point) {
        return new HeldResponse(response, point);
    }

    /** Runs a task the next time that the point is reached, by the thread that reaches it. */
    void runOnce(Runnable newTask) {
        task.set(newTask);
    }

    private void reach(Point reached) {
        if (reached == point) {
            task.getAndSet(() -> {}).run();
        }
    }

    @Override
    public void setStatus(int code) {
        reach(Point.STATUS);
        super.setStatus(code);
    }

    @Override
    public HttpFields.Mutable getHeaders() {
        reach(Point.HEADERS);
        return super.getHeaders();
    }

    @Override
    public void write(boolean last, ByteBuffer bytes, Callback callback) {
        reach(Point.WRITE);
        super.write(last, bytes, callback);
    }
}
