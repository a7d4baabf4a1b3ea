package org.plantainwharf.codec;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Stands in a frame for bytes that are sent compressed and in parts. Equal bytes have equal references, whichever daemon
 * sends them, provided that the daemons compress alike. Immutable.
 *
 * @param digest lower-case hexadecimal SHA-256 of the compressed bytes
 * @param compressedLength number of compressed bytes
 * @param length number of bytes after decompression
 */
public record ContentReference(String digest, int compressedLength, int length) {
    /** Bytes and their reference. The array must not be modified. */
    public record Compressed(ContentReference reference, byte[] bytes) {}

    /** Returns bytes in compressed form, with their reference. */
    public static Compressed compress(ByteBuffer bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            int plainLength = bytes.remaining();
            deflater.setInput(bytes.duplicate());
            deflater.finish();
            byte[] buffer = new byte[plainLength / 4 + 1_024];
            int length = 0;
            while (!deflater.finished()) {
                if (length == buffer.length) {
                    buffer = Arrays.copyOf(buffer, 2 * buffer.length);
                }
                length += deflater.deflate(buffer, length, buffer.length - length);
            }
            byte[] compressed = Arrays.copyOf(buffer, length);
            return new Compressed(new ContentReference(digestOf(compressed), length, plainLength), compressed);
        } finally {
            deflater.end();
        }
    }

    /** Returns whether these are the compressed bytes of this reference. */
    public boolean matches(byte[] compressed) {
        return compressed.length == compressedLength && digestOf(compressed).equals(digest);
    }

    /**
     * Returns the bytes that compressed bytes stand for.
     *
     * @throws IllegalArgumentException if they are not the ones of this reference
     */
    public byte[] decompress(byte[] compressed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            byte[] bytes = new byte[length];
            int filled = inflater.inflate(bytes);
            if (filled != length) {
                throw new IllegalArgumentException("content has " + filled + " bytes, its reference says " + length);
            }
            return bytes;
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("content cannot be decompressed: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }

    private static String digestOf(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
