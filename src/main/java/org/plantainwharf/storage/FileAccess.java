package org.plantainwharf.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/** The few file operations of this package, so that tests can make them fail. Used by one thread at a time. */
public interface FileAccess {
    /** Appends bytes to a file, which is created if it does not exist. */
    void append(Path file, ByteBuffer bytes) throws IOException;

    /** Forces a file's content and length to disk. */
    void force(Path file) throws IOException;

    /** Replaces a file's content by bytes, forced to disk. */
    void replaceContent(Path file, ByteBuffer bytes) throws IOException;

    /** Gives a file another name in its folder, replacing what had it, and forces the folder. */
    void rename(Path from, Path to) throws IOException;

    /** Cuts a file to a length and forces it. */
    void truncate(Path file, long length) throws IOException;

    /** Returns a file's bytes, none if it does not exist. */
    byte[] read(Path file) throws IOException;

    /** Closes what is open. */
    void close() throws IOException;

    /** Returns access to real files. */
    static FileAccess createDefault() {
        return DefaultFileAccess.create();
    }
}
