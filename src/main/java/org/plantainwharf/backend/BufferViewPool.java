package org.plantainwharf.backend;

import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.RetainableByteBuffer;

/**
 * A buffer pool that hands out a new view of pooled memory at each acquisition. When a response fails while its head is
 * being handled, the HTTP client releases the receive buffer and afterwards clears it once more through a reference that
 * it has kept. By then the memory may belong to another connection, whose unread bytes would be lost.
 *
 * <p>Invariant: no two acquisitions share a {@code ByteBuffer} object, so that neither position nor limit of a buffer can
 * be changed through one that was released. Thread-safe like the pool that it wraps.
 */
final class BufferViewPool extends ByteBufferPool.Wrapper {
    private BufferViewPool(ByteBufferPool memory) {
        super(memory);
    }

    static BufferViewPool create() {
        return new BufferViewPool(new ArrayByteBufferPool());
    }

    @Override
    public RetainableByteBuffer.Mutable acquire(int size, boolean direct) {
        RetainableByteBuffer memory = super.acquire(size, direct);
        return RetainableByteBuffer.wrap(memory.getByteBuffer().duplicate(), memory);
    }
}
