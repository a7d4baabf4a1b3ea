package org.plantainwharf.front;

import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.control.Clock;

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

    private static final long MAXIMUM_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final String HANDLED_ATTRIBUTE = UnreadBodyHandler.class.getName() + ".handled";

    private final Clock clock;

    private UnreadBodyHandler(Handler handler, Clock clock) {
        super(handler);
        this.clock = clock;
    }

    static UnreadBodyHandler create(Handler handler, Clock clock) {
        return new UnreadBodyHandler(handler, clock);
    }

    /** Returns whether a request has been passed to the handlers of this system; before that it cannot have run. */
    static boolean hasHandled(Request request) {
        return request.getAttribute(HANDLED_ATTRIBUTE) != null;
    }

    /** Marks a request as not passed on yet, because its body is still being received. */
    static void markReceiving(Request request) {
        request.removeAttribute(HANDLED_ATTRIBUTE);
    }

    /** Marks a request as passed to the handlers. */
    static void markHandled(Request request) {
        request.setAttribute(HANDLED_ATTRIBUTE, true);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        markHandled(request);
        // A client that waits for permission may never send its body.
        if (request.getHeaders().contains(HttpHeader.EXPECT)) {
            return super.handle(request, response, callback);
        }
        return super.handle(
                request, response, Callback.from(() -> new Discard(request, callback, clock).read(), callback::failed));
    }

    /** Discards the rest of one body. Jetty calls {@link #read} sequentially. */
    private static final class Discard {
        private final Request request;
        private final Callback callback;
        private final long startNanos;
        private final Clock clock;
        private long discardedBytes;

        private Discard(Request request, Callback callback, Clock clock) {
            this.request = request;
            this.callback = callback;
            this.clock = clock;
            this.startNanos = clock.nowNanos();
        }

        private void read() {
            while (true) {
                Content.@Nullable Chunk chunk = request.read();
                if (chunk == null) {
                    // If nothing more arrives, the idle time-out of the connection ends it.
                    request.demand(this::read);
                    return;
                }
                if (Content.Chunk.isFailure(chunk)) {
                    callback.failed(chunk.getFailure());
                    return;
                }
                boolean last = chunk.isLast();
                discardedBytes += chunk.remaining();
                chunk.release();
                if (last) {
                    callback.succeeded();
                    return;
                }
                if (discardedBytes > MAXIMUM_BYTES || clock.nowNanos() - startNanos > MAXIMUM_NANOS) {
                    callback.failed(new EofException("the unread body is too large or too slow"));
                    return;
                }
            }
        }
    }
}
