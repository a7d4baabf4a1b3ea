package org.plantainwharf.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A model engine that speaks the platform's protocol on a loopback port and reports to a control daemon. It crashes soon
 * after it begins an answer to a prompt with {@link #DEADLY_PART}, and is back at its address after a second under
 * another id. It checks that the streams that it goes on with were begun by its own version. Thread-safe.
 */
final class ScriptedEngine implements AutoCloseable {
    static final String DEADLY_PART = "dead";

    private static final long EVENT_INTERVAL_MILLIS = 40;
    private static final int EVENTS = 5;
    private static final long DOWN_MILLIS = 1_000;
    private static final long HEARTBEAT_MILLIS = 300;
    private static final AtomicInteger NAMES = new AtomicInteger();

    private final HttpClient client = HttpClient.newHttpClient();
    private final String controlAddress;
    private final String service;
    private final String version;
    private final AtomicInteger joinedStreams = new AtomicInteger();
    private final int port;
    private final AtomicInteger crashes = new AtomicInteger();
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private volatile Mode mode = new Mode.Sound();
    private volatile Life life;
    private volatile boolean closed;

    /** How the engine answers. */
    sealed interface Mode {
        record Sound() implements Mode {}

        /** It names a limit in each answer. */
        record Limited(double requestsPerSecond) implements Mode {}

        /** It says in each answer that it leaves, and goes on to report itself ready. */
        record Leaving() implements Mode {}

        /** It turns each request away and wants none for some seconds. */
        record Pausing(int seconds) implements Mode {}

        /** It sends events, one after the other, until its connection is closed. */
        record Unending() implements Mode {}

        /** It sends these bytes until its connection is closed. */
        record Endless(String head, String repeated) implements Mode {}
    }

    /** A request that arrived, at a time in milliseconds since the epoch, with the host that its caller named. */
    record Arrival(long millis, String host) {}

    /** One start of the engine, with its connections. */
    private record Life(String id, long bornMillis, ServerSocket socket, Set<Socket> connections) {}

    private ScriptedEngine(String controlAddress, String service, String version) throws IOException {
        this.controlAddress = controlAddress;
        this.service = service;
        this.version = version;
        this.life = startLife(0);
        this.port = life.socket().getLocalPort();
    }

    static ScriptedEngine start(String controlAddress, String service) throws IOException {
        return start(controlAddress, service, "v1");
    }

    static ScriptedEngine start(String controlAddress, String service, String version) throws IOException {
        ScriptedEngine engine = new ScriptedEngine(controlAddress, service, version);
        startThread(engine::reportUntilClosed);
        return engine;
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "scripted-engine");
        thread.setDaemon(true);
        thread.start();
    }

    private Life startLife(int onPort) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), onPort));
        Life started = new Life(
                "i-" + NAMES.incrementAndGet(), System.currentTimeMillis(), socket, ConcurrentHashMap.newKeySet());
        startThread(() -> accept(started));
        return started;
    }

    void setMode(Mode newMode) {
        mode = newMode;
    }

    /** Crashes the engine for a reason that has nothing to do with its requests. */
    void crash() throws IOException {
        crash(life);
    }

    /** Returns how many streams it was asked to go on with that another version had begun. */
    int joinedStreams() {
        return joinedStreams.get();
    }

    int crashes() {
        return crashes.get();
    }

    /** Returns when requests arrived, in milliseconds since the epoch. */
    List<Long> arrivalMillis() {
        return arrivals.stream().map(Arrival::millis).toList();
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    private void reportUntilClosed() {
        for (int sequence = 1; !closed; sequence++) {
            Life present = life;
            try {
                if (!present.socket().isClosed()) {
                    client.send(report(present, sequence), HttpResponse.BodyHandlers.discarding());
                }
                Thread.sleep(HEARTBEAT_MILLIS);
            } catch (IOException e) {
                // The control daemon is not listening yet or any more; the next report tries again.
                continue;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private HttpRequest report(Life present, int sequence) {
        String body =
                ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-a\",\"version\":\"%s\",\"slots\":64,"
                                + "\"state\":\"ready\",\"warmup_remaining_ms\":0,\"sequence\":%d,\"born\":%d}")
                        .formatted(service, port, version, sequence, present.bornMillis());
        return HttpRequest.newBuilder(URI.create("http://" + controlAddress + "/Instances.Heartbeat/" + present.id()))
                .timeout(Duration.ofSeconds(1))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private void accept(Life present) {
        while (!present.socket().isClosed()) {
            try {
                Socket connection = present.socket().accept();
                present.connections().add(connection);
                startThread(() -> serve(present, connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Life present, Socket connection) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            String head = readHead(in);
            while (!head.isEmpty()) {
                in.readNBytes(Integer.parseInt(header(head, "Content-Length", "0")));
                arrivals.add(new Arrival(System.currentTimeMillis(), header(head, "Host", "")));
                answer(present, connection.getOutputStream(), head);
                head = readHead(in);
            }
        } catch (IOException e) {
            // The other side has closed the connection, or the engine has crashed.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            present.connections().remove(connection);
        }
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int value = in.read();
            if (value < 0) {
                return "";
            }
            head.write(value);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    private static String header(String head, String name, String missing) {
        Matcher matcher = Pattern.compile("(?im)^" + name + ": *(.*?)\\r?$").matcher(head);
        return matcher.find() ? matcher.group(1) : missing;
    }

    private void answer(Life present, OutputStream out, String head) throws IOException, InterruptedException {
        String id = header(head, "X-Plantainwharf-Attempt-Id", "");
        if (!header(head, "X-Plantainwharf-Expected-Instance", present.id()).equals(present.id())) {
            write(out, "HTTP/1.1 421 Other\r\nX-Plantainwharf-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        String lastEventId = header(head, "Last-Event-Id", "");
        if (!lastEventId.isEmpty() && !lastEventId.startsWith(version + "/")) {
            joinedStreams.incrementAndGet();
        }
        switch (mode) {
            case Mode.Sound sound -> answerWithEvents(present, out, head, id, "");
            case Mode.Limited limited ->
                answerWithEvents(present, out, head, id, "Server-Limit: " + limited.requestsPerSecond() + "\r\n");
            case Mode.Leaving leaving -> answerWithEvents(present, out, head, id, "Server-Leaving: 1\r\n");
            case Mode.Unending unending -> {
                writeEventStreamHead(out, id, "");
                for (int event = 1; !closed; event++) {
                    writeChunk(out, eventText(event));
                    Thread.sleep(EVENT_INTERVAL_MILLIS);
                }
            }
            case Mode.Pausing pausing ->
                write(
                        out,
                        "HTTP/1.1 503 Busy\r\nX-Plantainwharf-Attempt-Id: " + id
                                + "\r\nX-Plantainwharf-Not-Executed: 1\r\nRetry-After: " + pausing.seconds()
                                + "\r\nContent-Length: 0\r\n\r\n");
            case Mode.Endless endless -> {
                write(out, endless.head().replace("ID", id));
                while (!closed) {
                    write(out, endless.repeated().repeat(100));
                }
            }
        }
    }

    /** The id of an event names the version that sent it. */
    private String eventText(int event) {
        return "id: " + version + "/" + event + "\ndata: t\n\n";
    }

    private void answerWithEvents(Life present, OutputStream out, String head, String id, String moreHeaders)
            throws IOException, InterruptedException {
        writeEventStreamHead(out, id, moreHeaders);
        for (int event = 1; event <= EVENTS; event++) {
            writeChunk(out, eventText(event));
            Thread.sleep(EVENT_INTERVAL_MILLIS);
            if (header(head, "X-Plantainwharf-Prefix-Hash", "").contains(DEADLY_PART + ":")) {
                crash(present);
            }
        }
        write(out, "0\r\n\r\n");
    }

    private static void writeEventStreamHead(OutputStream out, String id, String moreHeaders) throws IOException {
        write(
                out,
                "HTTP/1.1 200 OK\r\nX-Plantainwharf-Attempt-Id: " + id
                        + "\r\nX-Plantainwharf-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
                        + moreHeaders + "Transfer-Encoding: chunked\r\n\r\n");
    }

    private static void writeChunk(OutputStream out, String text) throws IOException {
        write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private synchronized void crash(Life present) throws IOException {
        if (present != life || present.socket().isClosed()) {
            return;
        }
        crashes.incrementAndGet();
        closeLife(present);
        startThread(() -> {
            try {
                Thread.sleep(DOWN_MILLIS);
                restart();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private synchronized void restart() {
        if (!closed) {
            try {
                life = startLife(port);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
    }

    private static void closeLife(Life present) throws IOException {
        present.socket().close();
        for (Socket connection : present.connections()) {
            connection.close();
        }
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        closeLife(life);
    }
}
