package org.plantainwharf.storage;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/** Accesses real files. A file stays open after the first append to it. Used by one thread at a time. */
final class DefaultFileAccess implements FileAccess {
    private final Map<Path, FileChannel> channels = new HashMap<>();

    private DefaultFileAccess() {}

    static DefaultFileAccess create() {
        return new DefaultFileAccess();
    }

    @Override
    public void append(Path file, ByteBuffer bytes) throws IOException {
        FileChannel channel = channel(file);
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    @Override
    public void force(Path file) throws IOException {
        channel(file).force(true);
    }

    @Override
    public void replaceContent(Path file, Iterator<ByteBuffer> parts) throws IOException {
        try (FileChannel channel = FileChannel.open(
                file, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            while (parts.hasNext()) {
                ByteBuffer bytes = parts.next();
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
            }
            channel.force(true);
        }
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        closeChannel(to);
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        Path folder = to.toAbsolutePath().getParent();
        if (folder != null) {
            try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
                channel.force(true);
            }
        }
    }

    @Override
    public void truncate(Path file, long length) throws IOException {
        closeChannel(file);
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.truncate(length);
            channel.force(true);
        }
    }

    @Override
    public RecordReader read(Path file) throws IOException {
        if (!Files.exists(file)) {
            return RecordReader.of(InputStream.nullInputStream(), 0);
        }
        return RecordReader.of(new BufferedInputStream(Files.newInputStream(file)), Files.size(file));
    }

    @Override
    public void delete(Path file) throws IOException {
        closeChannel(file);
        Files.deleteIfExists(file);
    }

    @Override
    public void close() throws IOException {
        for (FileChannel channel : channels.values()) {
            channel.close();
        }
        channels.clear();
    }

    private FileChannel channel(Path file) throws IOException {
        @Nullable FileChannel channel = channels.get(file);
        if (channel == null) {
            boolean created = !Files.exists(file);
            channel = FileChannel.open(
                    file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
            channels.put(file, channel);
            Path folder = file.toAbsolutePath().getParent();
            if (created && folder != null) {
                try (FileChannel parent = FileChannel.open(folder, StandardOpenOption.READ)) {
                    parent.force(true);
                }
            }
        }
        return channel;
    }

    private void closeChannel(Path file) throws IOException {
        @Nullable FileChannel channel = channels.remove(file);
        if (channel != null) {
            channel.close();
        }
    }
}
