package org.plantainwharf.front;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * A server that records the heads of the requests that it gets and answers each with 200 and some header lines. Reads bodies
 * with a length. Thread-safe.
 */
final class RecordingServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    private final BlockingQueue<List<String>> heads = new LinkedBlockingQueue<>();
    private final String headerLines;

    private RecordingServer(String headerLines) throws IOException {
        this.headerLines = headerLines;
    }

    /** Starts a server whose answers have further header lines, each of which ends with CRLF. */
    static RecordingServer start(String headerLines) throws IOException {
        RecordingServer server = new RecordingServer(headerLines);
        Thread thread = new Thread(server::accept, "recording-server");
        thread.setDaemon(true);
        thread.start();
        return server;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns the head of the next request, its lines in lower case. */
    List<String> nextHead() throws InterruptedException {
        @Nullable List<String> head = heads.poll(10, TimeUnit.SECONDS);
        if (head == null) {
            throw new AssertionError("no request has arrived");
        }
        return head;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread thread = new Thread(() -> serve(socket), "recording-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // Expected: the listener was closed.
            return;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (List<String> head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                heads.add(head);
                in.readNBytes(head.stream()
                        .filter(line -> line.startsWith("content-length: "))
                        .mapToInt(line -> Integer.parseInt(line.substring("content-length: ".length())))
                        .sum());
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Seal: s\r\nContent-Length: 2\r\n" + headerLines
                                        + "\r\nok")
                                .getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // Expected: the daemon has closed the connection.
            return;
        }
    }

    private static List<String> readHead(InputStream in) throws IOException {
        List<String> lines = new ArrayList<>();
        StringBuilder line = new StringBuilder();
        for (int value = in.read(); value >= 0; value = in.read()) {
            if (value != '\n') {
                line.append((char) value);
                continue;
            }
            String text = line.toString().strip();
            line.setLength(0);
            if (text.isEmpty()) {
                return lines;
            }
            lines.add(text.toLowerCase(Locale.ROOT));
        }
        return List.of();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
