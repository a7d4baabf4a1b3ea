package org.plantainwharf.storage;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import java.util.Optional;

/**
 * Reads the records of one file in order and holds one record at a time, so that the memory for reading a file does not
 * depend on its length. Not thread-safe.
 *
 * <p>A record that is cut off by the end of the file is a torn tail: its write was never reported as synced. So are zeros
 * up to the end of the file: a crash during an append can leave a file that has its new length but not its new content.
 * Any other record that does not match its checksums is corrupt.
 */
final class RecordReader implements AutoCloseable {
    private static final int SCAN_BYTES = 8_192;

    private final DataInputStream input;
    private final long fileBytes;
    private long validBytes;
    private boolean corrupt;
    private boolean ended;

    private RecordReader(InputStream input, long fileBytes) {
        this.input = new DataInputStream(input);
        this.fileBytes = fileBytes;
    }

    /**
     * Returns a reader at the start of a file.
     *
     * @param input content of the file; the reader closes it
     * @param fileBytes length of the file
     */
    static RecordReader of(InputStream input, long fileBytes) {
        return new RecordReader(input, fileBytes);
    }

    /** Returns the payload of the next record, or empty after the last valid one. */
    Optional<byte[]> next() throws IOException {
        long remaining = fileBytes - validBytes - RecordFraming.HEADER_BYTES;
        if (ended || remaining < 0) {
            ended = true;
            return Optional.empty();
        }
        int length = input.readInt();
        int lengthChecksum = input.readInt();
        int payloadChecksum = input.readInt();
        if (!RecordFraming.isValidLength(length, lengthChecksum)) {
            return endAtInvalidRecord(length == 0 && lengthChecksum == 0 && payloadChecksum == 0);
        }
        if (length > remaining) {
            ended = true;
            return Optional.empty();
        }
        byte[] payload = new byte[length];
        input.readFully(payload);
        if (payloadChecksum != RecordFraming.checksum(payload)) {
            // The header of a record is never all zeros, so this is no torn tail of zeros.
            return endAtInvalidRecord(false);
        }
        validBytes += RecordFraming.HEADER_BYTES + length;
        return Optional.of(payload);
    }

    private Optional<byte[]> endAtInvalidRecord(boolean zerosSoFar) throws IOException {
        ended = true;
        corrupt = !zerosSoFar || !onlyZerosFollow();
        return Optional.empty();
    }

    private boolean onlyZerosFollow() throws IOException {
        byte[] zeros = new byte[SCAN_BYTES];
        byte[] buffer = new byte[SCAN_BYTES];
        int read = input.read(buffer);
        while (read >= 0) {
            if (Arrays.mismatch(buffer, 0, read, zeros, 0, read) >= 0) {
                return false;
            }
            read = input.read(buffer);
        }
        return true;
    }

    /** Returns the number of bytes up to the end of the last valid record returned. */
    long validBytes() {
        return validBytes;
    }

    /** Returns whether the record after the valid ones is corrupt, once {@link #next} has returned empty. */
    boolean corrupt() {
        return corrupt;
    }

    /** Returns whether bytes follow the valid records, once {@link #next} has returned empty. */
    boolean hasTail() {
        return validBytes < fileBytes;
    }

    @Override
    public void close() throws IOException {
        input.close();
    }
}
