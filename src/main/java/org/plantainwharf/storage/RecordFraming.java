package org.plantainwharf.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Records in a file: length of the payload, CRC32C of the length, CRC32C of the payload, payload. Stateless.
 *
 * <p>A record that the end of the file cuts off is a torn tail: its write was never reported as synced. Any other
 * record that does not match its checksum is damage. A damaged length can reach past the end of the file and would look
 * like a torn tail; therefore the length has a checksum of its own.
 */
final class RecordFraming {
    private static final int HEADER_BYTES = 12;
    private static final int MAXIMUM_PAYLOAD_BYTES = 64 << 20;

    private RecordFraming() {}

    /**
     * What a file holds.
     *
     * @param validLength bytes up to the end of the last whole record
     * @param corruptOffset offset of a damaged record, or -1
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

    /** A write that only reached the length of the file, not its content, reads as zeros to the end. */
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
