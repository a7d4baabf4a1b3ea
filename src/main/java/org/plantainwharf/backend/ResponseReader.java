package org.plantainwharf.backend;

import java.io.ByteArrayOutputStream;

import org.jspecify.annotations.Nullable;

/** How the body of a server's answer is read. Not thread-safe; guarded by the lock of its attempt. */
sealed interface ResponseReader {
    /** The headers have not arrived. */
    record AwaitingHeaders() implements ResponseReader {}

    /** A stream of tokens, whole once its end marker arrived. */
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

    /** One body, whole once as many bytes as declared arrived. */
    final class BufferedBody implements ResponseReader {
        private final String mediaType;
        private final int maximumBytes;
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        BufferedBody(@Nullable String mediaType, int maximumBytes) {
            this.mediaType = mediaType == null ? "application/octet-stream" : mediaType;
            this.maximumBytes = maximumBytes;
        }

        /** Adds bytes. Returns false when the body is too large. */
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
