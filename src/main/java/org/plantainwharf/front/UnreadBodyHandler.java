package org.plantainwharf.front;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * Reads and discards what is left of a request's body after its answer has been written. Without it, Jetty closes the
 * connection with unread bytes, which resets it, and a client that is still sending loses the answer.
 *
 * <p>Invariant: the bytes and the time that are spent on one body are bounded; a connection beyond them is closed.
 * Thread-safe.
 */
final class UnreadBodyHandler extends Handler.Wrapper {
    /** Several times the largest body that a configuration allows. */
    private static final long MAXIMUM_BYTES = 32 << 20;

    private static final long MAXIMUM_MILLIS = 30_000;

    private UnreadBodyHandler(Handler handler) {
        super(handler);
    }

    static UnreadBodyHandler create(Handler handler) {
        return new UnreadBodyHandler(handler);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        // A client that waits for permission may never send its body.
        if (request.getHeaders().contains(HttpHeader.EXPECT)) {
            return super.handle(request, response, callback);
        }
        return super.handle(
                request, response, Callback.from(() -> new Discard(request, callback).read(), callback::failed));
    }

    /** Discards the rest of one body. Jetty calls {@link #read} sequentially; the time limit may end it meanwhile. */
    private static final class Discard {
        private final Request request;
        private final Callback callback;
        private final AtomicBoolean ended = new AtomicBoolean();
        private volatile Scheduler.@Nullable Task timeLimit;
        private long discardedBytes;

        private Discard(Request request, Callback callback) {
            this.request = request;
            this.callback = callback;
        }

        private void read() {
            while (!ended.get()) {
                Content.@Nullable Chunk chunk = request.read();
                if (chunk == null) {
                    if (timeLimit == null) {
                        timeLimit = request.getComponents()
                                .getScheduler()
                                .schedule(
                                        () -> fail(new TimeoutException("the body was not sent in time")),
                                        MAXIMUM_MILLIS,
                                        TimeUnit.MILLISECONDS);
                    }
                    request.demand(this::read);
                    return;
                }
                boolean last = chunk.isLast();
                discardedBytes += chunk.remaining();
                chunk.release();
                if (last) {
                    succeed();
                } else if (discardedBytes > MAXIMUM_BYTES) {
                    fail(new EofException("the unread body exceeds " + MAXIMUM_BYTES + " bytes"));
                }
            }
        }

        private void succeed() {
            if (end()) {
                callback.succeeded();
            }
        }

        private void fail(Throwable cause) {
            if (end()) {
                callback.failed(cause);
            }
        }

        private boolean end() {
            if (!ended.compareAndSet(false, true)) {
                return false;
            }
            Scheduler.Task scheduled = timeLimit;
            if (scheduled != null) {
                scheduled.cancel();
            }
            return true;
        }
    }
}
