package org.plantainwharf.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Iterator;

/** File operations of this package, behind an interface so that tests can inject failures. Used by one thread at a time. */
interface FileAccess {
    /** Appends bytes to a file without forcing them to disk. Creates the file if it does not exist. */
    void append(Path file, ByteBuffer bytes) throws IOException;

    /** Forces a file's content and length to disk. */
    void force(Path file) throws IOException;

    /**
     * Replaces the content of a file by the given parts and forces it to disk. Not atomic. Creates the file if it does
     * not exist.
     *
     * @param parts taken one at a time, each after the one before it was written
     */
    void replaceContent(Path file, Iterator<ByteBuffer> parts) throws IOException;

    /** Renames a file within its folder atomically, replacing any file of the new name, and forces the folder to disk. */
    void rename(Path from, Path to) throws IOException;

    /** Truncates a file to a length in bytes and forces it to disk. */
    void truncate(Path file, long length) throws IOException;

    /** Returns a reader of a file's records. It has none if the file does not exist. */
    RecordReader read(Path file) throws IOException;

    /** Deletes a file if it exists. */
    void delete(Path file) throws IOException;

    /** Closes all open files. */
    void close() throws IOException;

    /** Returns access to the real file system. */
    static FileAccess createDefault() {
        return DefaultFileAccess.create();
    }
}
