package org.plantainwharf.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Iterator;

/** Accesses real files and fails a selected operation. {@link #failOn} and {@link #forces} are thread-safe. */
final class FaultInjectingFileAccess implements FileAccess {
    private final FileAccess real = FileAccess.createDefault();
    private volatile String failingOperation = "";
    private volatile int forces;

    void failOn(String operation) {
        failingOperation = operation;
    }

    int forces() {
        return forces;
    }

    private void failIfSelected(String operation) throws IOException {
        if (operation.equals(failingOperation)) {
            throw new IOException("injected failure: " + operation);
        }
    }

    @Override
    public void append(Path file, ByteBuffer bytes) throws IOException {
        failIfSelected("append");
        real.append(file, bytes);
    }

    @Override
    @SuppressWarnings("NonAtomicVolatileUpdate") // Only the storage thread writes it.
    public void force(Path file) throws IOException {
        failIfSelected("force");
        forces++;
        real.force(file);
    }

    @Override
    public void replaceContent(Path file, Iterator<ByteBuffer> parts) throws IOException {
        failIfSelected("replaceContent");
        real.replaceContent(file, parts);
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        failIfSelected("rename");
        real.rename(from, to);
        failIfSelected("after rename of " + to.getFileName());
    }

    @Override
    public void truncate(Path file, long length) throws IOException {
        real.truncate(file, length);
    }

    @Override
    public RecordReader read(Path file) throws IOException {
        return real.read(file);
    }

    @Override
    public void delete(Path file) throws IOException {
        real.delete(file);
    }

    @Override
    public void close() throws IOException {
        real.close();
    }
}
