package org.plantainwharf.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Frames the records of a file. A record consists of payload length, CRC32C of the length, CRC32C of the payload, and
 * payload. Stateless and thread-safe.
 *
 * <p>A corrupt length can point past the end of the file, which would look like a torn tail; therefore the length has a
 * checksum of its own. {@link RecordReader} reads what this class writes.
 */
final class RecordFraming {
    static final int HEADER_BYTES = 12;
    private static final int MAXIMUM_PAYLOAD_BYTES = 64 << 20;

    private RecordFraming() {}

    /** Returns the bytes of one record. */
    static ByteBuffer encode(byte[] payload) {
        return ByteBuffer.allocate(HEADER_BYTES + payload.length)
                .putInt(payload.length)
                .putInt(checksum(lengthBytes(payload.length)))
                .putInt(checksum(payload))
                .put(payload)
                .flip();
    }

    /** Returns whether a length matches its checksum and is one that a record can have. */
    static boolean isValidLength(int length, int lengthChecksum) {
        return lengthChecksum == checksum(lengthBytes(length)) && length >= 0 && length <= MAXIMUM_PAYLOAD_BYTES;
    }

    static int checksum(byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes);
        return (int) checksum.getValue();
    }

    private static byte[] lengthBytes(int length) {
        return ByteBuffer.allocate(Integer.BYTES).putInt(length).array();
    }
}
