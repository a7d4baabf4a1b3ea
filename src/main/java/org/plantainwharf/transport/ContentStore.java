package org.plantainwharf.transport;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32C;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.codec.ContentReference;

/**
 * Compressed contents that this daemon has referred to, for the requests of the receivers. A content that is sent to many
 * peers is compressed once. Invariant: it keeps at most {@link #MAXIMUM_BYTES}, and drops what was referred to or
 * requested longest ago first; a receiver that asks for a dropped content is told so, and gets it with the next message
 * that refers to it. Confined to the event loop.
 */
final class ContentStore {
    /** Bound of the compressed and the plain bytes together; the plain ones are mostly shared with other messages. */
    static final long MAXIMUM_BYTES = 24L << 20;

    private final Map<PlainKey, Stored> byPlain = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, byte[]> byDigest = new LinkedHashMap<>();
    private long bytes;

    /** Finds equal bytes; the bytes themselves are compared as well. Immutable. */
    private record PlainKey(int length, long checksum) {}

    private record Stored(ByteBuffer plain, ContentReference.Compressed compressed) {
        long size() {
            return plain.remaining() + compressed.bytes().length;
        }
    }

    private ContentStore() {}

    static ContentStore create() {
        return new ContentStore();
    }

    /** Keeps bytes, which must not be modified afterwards, and returns their reference. */
    ContentReference put(ByteBuffer plain) {
        CRC32C checksum = new CRC32C();
        checksum.update(plain.duplicate());
        PlainKey key = new PlainKey(plain.remaining(), checksum.getValue());
        @Nullable Stored known = byPlain.get(key);
        if (known != null && known.plain().equals(plain)) {
            return known.compressed().reference();
        }
        if (known != null) {
            remove(key, known);
        }
        Stored stored = new Stored(plain, ContentReference.compress(plain));
        byPlain.put(key, stored);
        byDigest.put(
                stored.compressed().reference().digest(), stored.compressed().bytes());
        bytes += stored.size();
        while (bytes > MAXIMUM_BYTES && byPlain.size() > 1) {
            Map.Entry<PlainKey, Stored> eldest = byPlain.entrySet().iterator().next();
            remove(eldest.getKey(), eldest.getValue());
        }
        return stored.compressed().reference();
    }

    private void remove(PlainKey key, Stored stored) {
        byPlain.remove(key);
        byDigest.remove(stored.compressed().reference().digest());
        bytes -= stored.size();
    }

    /** Returns compressed bytes from an offset on; empty if the content is not kept or ends before the offset. */
    Optional<byte[]> part(String digest, int offset, int length) {
        byte @Nullable [] content = byDigest.get(digest);
        return content == null || offset >= content.length
                ? Optional.empty()
                : Optional.of(Arrays.copyOfRange(content, offset, Math.min(content.length, offset + length)));
    }
}
