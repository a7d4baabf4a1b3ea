package org.plantainwharf.backend;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.RetainableByteBuffer;
import org.eclipse.jetty.util.BufferUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.identity.ServerId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against bytes of a sound response that are lost because the response of another server fails: the HTTP library
 * clears the receive buffer of a failed connection once more after it has released it.
 */
@Timeout(60)
class ReceiveBufferTest {
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n";
    private static final String CHUNKED_HEAD = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private static final int EVENTS = 20;

    private final HttpClient client = HttpClients.start("test", 8, 4_000);

    @AfterEach
    void stopClient() throws Exception {
        client.stop();
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: text of event " + number + "\n\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String events(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(ReceiveBufferTest::event)
                .collect(Collectors.joining());
    }

    private static String chunks(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(number -> chunk(event(number)))
                .collect(Collectors.joining());
    }

    /** How the response of the failing server ends after its first event. */
    private enum Ending {
        CLOSED_BETWEEN_EVENTS(""),
        CLOSED_WITHIN_AN_EVENT("40\r\nid: 2\nda"),
        CLOSED_WITHIN_A_CHUNK_SIZE("4"),
        MALFORMED_CHUNK_SIZE("size\r\n"),
        RESET(""),
        CALLER_LEFT("");

        private final String lastBytes;

        Ending(String lastBytes) {
            this.lastBytes = lastBytes;
        }
    }

    @Nested
    class StreamsBesideAFailingOne {
        private final CountDownLatch failed = new CountDownLatch(1);
        private final CountDownLatch soundBegan = new CountDownLatch(1);
        private final CountDownLatch cleanedUp = new CountDownLatch(1);
        private final CountDownLatch soundEnded = new CountDownLatch(1);
        private final RecordingExchange failing = RecordingExchange.create("r-1");
        private final RecordingExchange sound = RecordingExchange.create("r-1");

        /** The sound stream's head and events are in its buffer while the failed response is cleaned up. */
        @ParameterizedTest
        @EnumSource(Ending.class)
        void areWhole(Ending ending) throws Exception {
            try (ServerSocket failingServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                    ServerSocket soundServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                Thread failingThread = new Thread(() -> serveFailing(failingServer, ending), "failing-server");
                Thread soundThread = new Thread(() -> serveSound(soundServer), "sound-server");
                failingThread.start();
                soundThread.start();
                failing.onWrite(() -> {
                    await(failed);
                    if (ending == Ending.CALLER_LEFT) {
                        failing.close();
                    }
                });
                send(failingServer, failing, event -> {
                    if (event instanceof ForwardEvent.ForwardEnded) {
                        sendSoundOne(soundServer, Thread.currentThread());
                    }
                });
                await(soundEnded);
                failingThread.join();
                soundThread.join();
            }
            assertEquals(events(1, EVENTS), sound.received());
            assertTrue(sound.isComplete(), "the sound stream is not complete");
        }

        /** Returns when the sound response has begun; its rest is read after the failed response was cleaned up. */
        private void sendSoundOne(ServerSocket server, Thread failingReader) {
            sound.onBegin(() -> {
                soundBegan.countDown();
                awaitCleanUp(failingReader);
                cleanedUp.countDown();
            });
            send(server, sound, event -> {
                if (event instanceof ForwardEvent.ForwardEnded ended) {
                    assertInstanceOf(ForwardOutcome.Completed.class, ended.outcome());
                    soundEnded.countDown();
                }
            });
            await(soundBegan);
        }

        private void send(ServerSocket server, RecordingExchange exchange, Consumer<Event> onEvent) {
            ForwardEffect.StartForward start = new ForwardEffect.StartForward(
                    1,
                    1,
                    ServerId.of("i-1"),
                    1,
                    "127.0.0.1:" + server.getLocalPort(),
                    System.nanoTime() + 50_000_000_000L,
                    Optional.empty(),
                    0,
                    false);
            EventSink events = new EventSink() {
                @Override
                public boolean offer(Event event) {
                    onEvent.accept(event);
                    return true;
                }

                @Override
                public void post(Event event) {
                    onEvent.accept(event);
                }
            };
            ForwardAttempt.create(
                            client, ForwardTestDialect.DIALECT, Clock.system(), start, exchange, events, ended -> {})
                    .send();
        }

        private void serveFailing(ServerSocket server, Ending ending) {
            try (Socket socket = server.accept()) {
                readHead(socket.getInputStream());
                write(socket.getOutputStream(), CHUNKED_HEAD + chunk(event(1)));
                failing.awaitBytes();
                write(socket.getOutputStream(), ending.lastBytes);
                if (ending == Ending.RESET) {
                    socket.setSoLinger(true, 0);
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            failed.countDown();
        }

        private void serveSound(ServerSocket server) {
            try (Socket socket = server.accept()) {
                readHead(socket.getInputStream());
                write(socket.getOutputStream(), CHUNKED_HEAD + chunks(1, EVENTS / 2));
                await(cleanedUp);
                write(socket.getOutputStream(), chunks(EVENTS / 2 + 1, EVENTS) + "0\r\n\r\n");
                await(soundEnded);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    @Nested
    class ReleasedBuffers {
        /** What still refers to a released buffer must not change the buffer of another connection. */
        @ParameterizedTest
        @ValueSource(booleans = {true, false})
        void doNotChangeThoseInUse(boolean direct) {
            ByteBufferPool pool = client.getByteBufferPool();
            RetainableByteBuffer released = pool.acquire(1_024, direct);
            ByteBuffer kept = released.getByteBuffer();
            assertTrue(released.release());
            RetainableByteBuffer used = pool.acquire(1_024, direct);
            BufferUtil.append(used.getByteBuffer(), event(1).getBytes(StandardCharsets.US_ASCII));
            BufferUtil.clear(kept);
            assertEquals(event(1), BufferUtil.toString(used.getByteBuffer(), StandardCharsets.US_ASCII));
            assertTrue(used.release());
        }

        /** Memory that does not return to the pool would be allocated anew for each read. */
        @ParameterizedTest
        @ValueSource(booleans = {true, false})
        void returnTheirMemoryToThePool(boolean direct) {
            ByteBufferPool pool = client.getByteBufferPool();
            RetainableByteBuffer retained = pool.acquire(1_024, direct);
            retained.retain();
            assertFalse(retained.release());
            ByteBuffer first = retained.getByteBuffer();
            first.limit(1);
            first.put(0, (byte) 'm');
            assertTrue(retained.release());
            RetainableByteBuffer second = pool.acquire(1_024, direct);
            assertEquals(0, second.remaining());
            second.getByteBuffer().limit(1);
            assertEquals((byte) 'm', second.getByteBuffer().get(0));
            assertTrue(second.release());
        }
    }

    private static void readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int value = input.read();
            if (value < 0) {
                throw new IOException("the request is not whole");
            }
            head.append((char) value);
        }
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(20, TimeUnit.SECONDS), "the step did not come");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Waits until a thread has left the code of the HTTP library that receives responses. */
    private static void awaitCleanUp(Thread reader) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (Arrays.stream(reader.getStackTrace())
                .anyMatch(frame -> frame.getClassName().contains("HttpReceiver"))) {
            assertTrue(System.nanoTime() < end, "the failed response is not cleaned up");
            LockSupport.parkNanos(1_000_000);
        }
    }
}
