package org.plantainwharf.front;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;

/**
 * Reads the body of one request into an array without blocking. The array is reserved in a {@link BodyBudget} until the
 * request has ended, at once if the request declares its length, otherwise as it grows.
 *
 * <p>Invariant: the result is passed on exactly once. Jetty calls {@link #read} sequentially; only the reserved amount is
 * also used by the thread that ends the request.
 */
final class BodyReader {
    private static final int FIRST_BYTES = 8 << 10;
    private static final String CAUSE_ATTRIBUTE = BodyReader.class.getName() + ".cause";

    private final Request request;
    private final long maximumBytes;
    private final BodyBudget budget;
    private final Consumer<Either<Failure, byte[]>> onRead;
    private final AtomicLong reservedBytes = new AtomicLong();
    private final long deadlineNanos;
    private byte[] bytes = new byte[0];
    private int length;

    private BodyReader(
            Request request, long maximumBytes, BodyBudget budget, Consumer<Either<Failure, byte[]>> onRead) {
        this.request = request;
        this.maximumBytes = maximumBytes;
        this.budget = budget;
        this.onRead = onRead;
        this.deadlineNanos = budget.receiveDeadlineNanos();
    }

    /** Starts to read; see {@link RequestReader#readBody}. */
    static void start(Request request, int maximumBytes, BodyBudget budget, Consumer<Either<Failure, byte[]>> onRead) {
        long limitBytes = Math.min(maximumBytes, budget.largestBodyBytes());
        BodyReader reader = new BodyReader(request, limitBytes, budget, onRead);
        UnreadBodyHandler.markReceiving(request);
        long declaredBytes = request.getLength();
        if (declaredBytes > limitBytes) {
            reader.fail(Failure.of(ErrorKind.BODY_TOO_LARGE, limitBytes));
            return;
        }
        Request.addCompletionListener(request, failure -> reader.release());
        if (declaredBytes > 0 && !reader.grow((int) declaredBytes)) {
            return;
        }
        reader.read();
    }

    /** Returns why the HTTP library could not read the body of a request; empty if it could. */
    static Optional<Throwable> cause(Request request) {
        return Optional.ofNullable(request.getAttribute(CAUSE_ATTRIBUTE)).map(Throwable.class::cast);
    }

    private void read() {
        while (true) {
            Content.@Nullable Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this::read);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                Throwable cause = chunk.getFailure();
                request.setAttribute(CAUSE_ATTRIBUTE, cause);
                fail(MessageFault.of(request, cause).failure());
                return;
            }
            boolean appended = append(chunk.getByteBuffer());
            boolean last = chunk.isLast();
            chunk.release();
            if (!appended) {
                return;
            }
            if (last) {
                UnreadBodyHandler.markHandled(request);
                onRead.accept(Either.right(length == bytes.length ? bytes : Arrays.copyOf(bytes, length)));
                return;
            }
            if (budget.isPast(deadlineNanos)) {
                fail(Failure.of(ErrorKind.BODY_TIMEOUT));
                return;
            }
        }
    }

    /** Appends a part of the body; returns false if the request has failed. */
    private boolean append(ByteBuffer part) {
        int needed = length + part.remaining();
        if (needed > maximumBytes) {
            fail(Failure.of(ErrorKind.BODY_TOO_LARGE, maximumBytes));
            return false;
        }
        if (needed > bytes.length
                && !grow((int) Math.min(maximumBytes, Math.max(needed, Math.max(FIRST_BYTES, 2 * bytes.length))))) {
            return false;
        }
        int count = part.remaining();
        part.get(bytes, length, count);
        length += count;
        return true;
    }

    /** Enlarges the array; returns false if the request has failed because there is no memory for it. */
    private boolean grow(int size) {
        int additional = size - bytes.length;
        if (!budget.tryReserve(additional, size)) {
            fail(Failure.of(ErrorKind.BODY_MEMORY_FULL, size).withRetryAfter(budget.nextRetryAfter(size)));
            return false;
        }
        reservedBytes.addAndGet(additional);
        bytes = Arrays.copyOf(bytes, size);
        return true;
    }

    private void fail(Failure failure) {
        bytes = new byte[0];
        release();
        onRead.accept(Either.left(failure));
    }

    private void release() {
        budget.release(reservedBytes.getAndSet(0));
    }
}
