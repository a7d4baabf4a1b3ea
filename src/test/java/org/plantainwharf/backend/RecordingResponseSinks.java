package org.plantainwharf.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.RequestId;

/** Records the responses that callers receive. Can simulate callers that are slow to accept bytes. Thread-safe. */
final class RecordingResponseSinks implements ResponseSinks {
    private final Map<RequestId, Recording> recordings = new ConcurrentHashMap<>();
    private volatile boolean paused;

    static RecordingResponseSinks create() {
        return new RecordingResponseSinks();
    }

    /** Defers the completion of all writes until {@link #resumeWrites}. */
    void pauseWrites() {
        paused = true;
    }

    /** Completes the deferred write of a request and ends the deferral for all requests. */
    void resumeWrites(RequestId request) {
        paused = false;
        recording(request).runPendingCallback();
    }

    @Override
    public Optional<ResponseSink> sink(RequestId request) {
        return Optional.of(recording(request));
    }

    private Recording recording(RequestId request) {
        return recordings.computeIfAbsent(request, key -> new Recording());
    }

    String text(RequestId request) {
        return recording(request).text();
    }

    int status(RequestId request) {
        return recording(request).status();
    }

    private final class Recording implements ResponseSink {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private @Nullable Runnable pendingCallback;
        private int status;

        @Override
        public synchronized void begin(int httpStatus, String mediaType) {
            status = status == 0 ? httpStatus : status;
        }

        @Override
        public void write(byte[] chunk, Runnable onWritten) {
            synchronized (this) {
                bytes.writeBytes(chunk);
                if (paused) {
                    pendingCallback = onWritten;
                    return;
                }
            }
            onWritten.run();
        }

        void runPendingCallback() {
            @Nullable Runnable callback;
            synchronized (this) {
                callback = pendingCallback;
                pendingCallback = null;
            }
            if (callback != null) {
                callback.run();
            }
        }

        synchronized String text() {
            return bytes.toString(StandardCharsets.UTF_8);
        }

        synchronized int status() {
            return status;
        }
    }
}
