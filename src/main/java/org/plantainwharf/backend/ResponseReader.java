package org.plantainwharf.backend;

import java.io.ByteArrayOutputStream;

import org.jspecify.annotations.Nullable;

/**
 * Reads the body of a server's response according to its type. Not thread-safe; guarded by the lock of the call's
 * {@link CallProgress}.
 */
sealed interface ResponseReader {
    /** The response headers have not arrived yet. */
    record AwaitingHeaders() implements ResponseReader {}

    /** A stream of token events, which is complete once the end marker {@code [DONE]} has arrived. */
    final class TokenStream implements ResponseReader {
        private final EventStreamParser parser;
        private boolean ended;

        TokenStream(int maximumEventBytes) {
            this.parser = EventStreamParser.create(maximumEventBytes);
        }

        EventStreamParser parser() {
            return parser;
        }

        boolean ended() {
            return ended;
        }

        void markEnded() {
            ended = true;
        }
    }

    /** A buffered body, which counts as complete only if a length or the chunked encoding marks its end. */
    final class BufferedBody implements ResponseReader {
        private final String mediaType;
        private final int maximumBytes;
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        BufferedBody(@Nullable String mediaType, int maximumBytes) {
            this.mediaType = mediaType == null ? "application/octet-stream" : mediaType;
            this.maximumBytes = maximumBytes;
        }

        /** Appends bytes. Returns false, appending nothing, if the body would exceed its maximum size. */
        boolean append(byte[] chunk) {
            if (bytes.size() + chunk.length > maximumBytes) {
                return false;
            }
            bytes.writeBytes(chunk);
            return true;
        }

        String mediaType() {
            return mediaType;
        }

        byte[] bytes() {
            return bytes.toByteArray();
        }
    }
}
