package org.plantainwharf.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/** Real files whose operations fail on demand. */
final class FaultyFiles implements FileAccess {
    private final FileAccess real = FileAccess.real();
    private volatile String failing = "";
    private volatile int forces;

    void fail(String operation) {
        failing = operation;
    }

    int forces() {
        return forces;
    }

    private void check(String operation) throws IOException {
        if (operation.equals(failing)) {
            throw new IOException(operation + " refused");
        }
    }

    @Override
    public void append(Path file, ByteBuffer bytes) throws IOException {
        check("append");
        real.append(file, bytes);
    }

    @Override
    @SuppressWarnings("NonAtomicVolatileUpdate") // Only the storage thread writes it.
    public void force(Path file) throws IOException {
        check("force");
        forces++;
        real.force(file);
    }

    @Override
    public void writeWhole(Path file, ByteBuffer bytes) throws IOException {
        check("writeWhole");
        real.writeWhole(file, bytes);
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        check("rename");
        real.rename(from, to);
        check("after rename of " + to.getFileName());
    }

    @Override
    public void truncate(Path file, long length) throws IOException {
        real.truncate(file, length);
    }

    @Override
    public byte[] read(Path file) throws IOException {
        return real.read(file);
    }

    @Override
    public void close() throws IOException {
        real.close();
    }
}
