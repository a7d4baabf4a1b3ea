package org.plantainwharf.backend;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;

/** A server on a loopback port whose raw response bytes are written by a script of the test. Thread-safe. */
final class ScriptedServer implements AutoCloseable {
    private static final Pattern CONTENT_LENGTH = Pattern.compile("content-length: *(\\d+)");

    private final ServerSocket socket;
    private final Script script;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    /** Writes the response to one request. Returns whether to keep the connection open. */
    @FunctionalInterface
    interface Script {
        boolean respond(ReceivedRequest request, OutputStream out) throws IOException, InterruptedException;
    }

    /**
     * One received request.
     *
     * @param connectionNumber number of the connection in the order of acceptance, from 1
     * @param head request line and headers
     */
    record ReceivedRequest(int connectionNumber, String head, String body) {
        /** Returns the value of a header, or an empty string if it is missing. */
        String header(String name) {
            Matcher matcher = Pattern.compile("(?i)^" + name + ": *(.*)$", Pattern.MULTILINE)
                    .matcher(head);
            return matcher.find() ? matcher.group(1).trim() : "";
        }

        /** Returns a status line and headers that echo the request id and attempt number. */
        String responseHead(int status, String... headers) {
            return "HTTP/1.1 " + status + " X\r\nX-Request-Id: " + header("X-Request-Id") + "\r\nX-Attempt: "
                    + header("X-Attempt") + "\r\n" + String.join("\r\n", headers) + "\r\n\r\n";
        }
    }

    private ScriptedServer(ServerSocket socket, Script script) {
        this.socket = socket;
        this.script = script;
    }

    static ScriptedServer start(Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()), script);
        startDaemonThread(server::acceptConnections);
        return server;
    }

    private static void startDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    int connections() {
        return connections.size();
    }

    private void acceptConnections() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connections.add(connection);
                int number = connections.size();
                startDaemonThread(() -> serve(connection, number));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection, int number) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            @Nullable ReceivedRequest request = read(in, number);
            while (request != null && script.respond(request, connection.getOutputStream())) {
                connection.getOutputStream().flush();
                request = read(in, number);
            }
        } catch (IOException | InterruptedException e) {
            // Expected: the client closed the connection or the test has ended.
            return;
        }
    }

    private static @Nullable ReceivedRequest read(InputStream in, int number) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int value = in.read();
            if (value < 0) {
                return null;
            }
            head.write(value);
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        Matcher length = CONTENT_LENGTH.matcher(text.toLowerCase(Locale.ROOT));
        byte[] body = in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        return new ReceivedRequest(number, text, new String(body, StandardCharsets.UTF_8));
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** Writes one chunk of a chunked body. */
    static void writeChunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        write(out, Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n");
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
