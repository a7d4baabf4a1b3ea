package org.plantainwharf.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.RequestId;

/** Keeps what callers are given. A caller can be made to take its bytes only later. Thread-safe. */
final class RecordingSinks implements AnswerSinks {
    private final Map<RequestId, Recording> recordings = new ConcurrentHashMap<>();
    private volatile boolean holding;

    static RecordingSinks create() {
        return new RecordingSinks();
    }

    /** Makes callers take no more bytes until released. */
    void hold() {
        holding = true;
    }

    /** Lets the caller of a request take its bytes. */
    void release(RequestId request) {
        holding = false;
        recording(request).release();
    }

    @Override
    public Optional<AnswerSink> sink(RequestId request) {
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

    private final class Recording implements AnswerSink {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private @Nullable Runnable held;
        private int status;

        @Override
        public synchronized void begin(int httpStatus, String mediaType) {
            status = status == 0 ? httpStatus : status;
        }

        @Override
        public void write(byte[] more, Runnable taken) {
            synchronized (this) {
                bytes.writeBytes(more);
                if (holding) {
                    held = taken;
                    return;
                }
            }
            taken.run();
        }

        void release() {
            @Nullable Runnable taken;
            synchronized (this) {
                taken = held;
                held = null;
            }
            if (taken != null) {
                taken.run();
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
