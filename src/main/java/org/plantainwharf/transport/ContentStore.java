package org.plantainwharf.transport;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
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

    /** Contents by digest, the one used longest ago first. */
    private final Map<String, Stored> byDigest = new LinkedHashMap<>(16, 0.75f, true);

    private final Map<PlainKey, String> digests = new HashMap<>();
    private long bytes;

    /** Finds equal bytes; the bytes themselves are compared as well. Immutable. */
    private record PlainKey(int length, long checksum) {}

    private record Stored(PlainKey key, ByteBuffer plain, ContentReference.Compressed compressed) {
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
        @Nullable String digest = digests.get(key);
        @Nullable Stored known = digest == null ? null : byDigest.get(digest);
        if (known != null && known.plain().equals(plain)) {
            return known.compressed().reference();
        }
        if (known != null) {
            remove(known);
        }
        Stored stored = new Stored(key, plain, ContentReference.compress(plain));
        digests.put(key, stored.compressed().reference().digest());
        byDigest.put(stored.compressed().reference().digest(), stored);
        bytes += stored.size();
        while (bytes > MAXIMUM_BYTES && byDigest.size() > 1) {
            remove(byDigest.values().iterator().next());
        }
        return stored.compressed().reference();
    }

    private void remove(Stored stored) {
        digests.remove(stored.key());
        byDigest.remove(stored.compressed().reference().digest());
        bytes -= stored.size();
    }

    /** Returns compressed bytes from an offset on; empty if the content is not kept or ends before the offset. */
    Optional<byte[]> part(String digest, int offset, int length) {
        // The lookup counts as a use, so a content that a receiver is fetching stays while newer ones come.
        @Nullable Stored stored = byDigest.get(digest);
        if (stored == null || offset >= stored.compressed().bytes().length) {
            return Optional.empty();
        }
        byte[] content = stored.compressed().bytes();
        return Optional.of(Arrays.copyOfRange(content, offset, Math.min(content.length, offset + length)));
    }
}
