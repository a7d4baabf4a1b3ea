package org.plantainwharf.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Frames the records of a file. A record consists of payload length, CRC32C of the length, CRC32C of the payload, and
 * payload. Stateless and thread-safe.
 *
 * <p>A record that is cut off by the end of the file is a torn tail: its write was never reported as synced. Any other
 * record that does not match its checksums is corrupt. A corrupt length can point past the end of the file, which would
 * look like a torn tail; therefore the length has a checksum of its own.
 */
final class RecordFraming {
    private static final int HEADER_BYTES = 12;
    private static final int MAXIMUM_PAYLOAD_BYTES = 64 << 20;

    private RecordFraming() {}

    /**
     * The records decoded from a file.
     *
     * @param validLength number of bytes up to the end of the last complete record
     * @param corruptOffset offset of the first corrupt record, or -1 if there is none
     */
    record DecodedFile(List<byte[]> payloads, long validLength, long corruptOffset) {}

    static ByteBuffer encode(List<byte[]> payloads) {
        int size = payloads.stream()
                .mapToInt(payload -> HEADER_BYTES + payload.length)
                .sum();
        ByteBuffer buffer = ByteBuffer.allocate(size);
        for (byte[] payload : payloads) {
            buffer.putInt(payload.length)
                    .putInt(checksum(lengthBytes(payload.length)))
                    .putInt(checksum(payload))
                    .put(payload);
        }
        return buffer.flip();
    }

    static DecodedFile decode(byte[] bytes) {
        List<byte[]> payloads = new ArrayList<>();
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.remaining() >= HEADER_BYTES) {
            int start = buffer.position();
            int length = buffer.getInt();
            int lengthChecksum = buffer.getInt();
            int payloadChecksum = buffer.getInt();
            if (lengthChecksum != checksum(lengthBytes(length)) || length < 0 || length > MAXIMUM_PAYLOAD_BYTES) {
                return tornOrCorrupt(payloads, bytes, start);
            }
            if (length > buffer.remaining()) {
                return new DecodedFile(payloads, start, -1);
            }
            byte[] payload = new byte[length];
            buffer.get(payload);
            if (payloadChecksum != checksum(payload)) {
                return tornOrCorrupt(payloads, bytes, start);
            }
            payloads.add(payload);
        }
        return new DecodedFile(payloads, bytes.length - buffer.remaining(), -1);
    }

    /**
     * Classifies an invalid record. Zeros up to the end of the file are a torn tail: a crash during an append can leave
     * a file that has its new length but not its new content.
     */
    private static DecodedFile tornOrCorrupt(List<byte[]> payloads, byte[] bytes, int start) {
        for (int index = start; index < bytes.length; index++) {
            if (bytes[index] != 0) {
                return new DecodedFile(payloads, start, start);
            }
        }
        return new DecodedFile(payloads, start, -1);
    }

    private static byte[] lengthBytes(int length) {
        return ByteBuffer.allocate(Integer.BYTES).putInt(length).array();
    }

    private static int checksum(byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes);
        return (int) checksum.getValue();
    }
}
