package org.plantainwharf.front;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A caller that reads an answer from its connection and judges by RFC 9112, section 6.3, whether it is complete. Used by
 * one thread.
 */
public final class RawCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 15_000;

    private final Socket socket;
    private final InputStream in;

    /** What a caller asks of its connection. */
    public enum Connection {
        KEPT("HTTP/1.1", ""),
        CLOSED("HTTP/1.1", "Connection: close\r\n"),
        OLD("HTTP/1.0", ""),
        OLD_KEPT("HTTP/1.0", "Connection: keep-alive\r\n");

        private final String version;
        private final String header;

        Connection(String version, String header) {
            this.version = version;
            this.header = header;
        }
    }

    /**
     * An answer as its caller sees it.
     *
     * @param status HTTP status; 0 if there was no head
     * @param complete whether the end of the body was marked
     */
    public record Answer(int status, Map<String, String> headers, String body, boolean complete) {}

    private RawCaller(Socket socket) throws IOException {
        this.socket = socket;
        this.in = new BufferedInputStream(socket.getInputStream());
    }

    /** Connects to a listener. */
    public static RawCaller connect(String host, int port) throws IOException {
        Socket socket = new Socket(host, port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return new RawCaller(socket);
    }

    /** Sends a request without a body; {@code headers} are lines that end with CRLF. */
    public void send(Connection connection, String path, String host, String headers) throws IOException {
        send(connection, "GET " + path, host, headers, "");
    }

    /** Sends a request with a body. */
    void post(Connection connection, String path, String headers, String body) throws IOException {
        send(connection, "POST " + path, "a.example", headers + "Content-Length: " + body.length() + "\r\n", body);
    }

    private void send(Connection connection, String target, String host, String headers, String body)
            throws IOException {
        String head =
                target + " " + connection.version + "\r\nHost: " + host + "\r\n" + connection.header + headers + "\r\n";
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
    }

    /** Sends a text as it is, such as a part of a request. */
    void sendText(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Sends nothing more; the answer can still be read. */
    void endOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Waits until the first byte of the answer has arrived. */
    public void awaitAnswer() throws IOException {
        in.mark(1);
        in.read();
        in.reset();
    }

    /** Reads until the answer ends. */
    public Answer receive() throws IOException {
        Map<String, String> headers = new HashMap<>();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        boolean complete = false;
        try {
            String line = readLine();
            if (line.startsWith("HTTP/1.1 100 ")) {
                // The permission to send a body is no answer.
                readLine();
                line = readLine();
            }
            if (!line.isEmpty()) {
                status = Integer.parseInt(line.split(" ")[1]);
                for (line = readLine(); !line.isEmpty(); line = readLine()) {
                    int colon = line.indexOf(':');
                    headers.put(
                            line.substring(0, colon).toLowerCase(Locale.ROOT),
                            line.substring(colon + 1).strip());
                }
                complete = readBody(headers, body);
            }
        } catch (SocketException e) {
            // The connection was reset.
            complete = false;
        }
        return new Answer(status, headers, body.toString(StandardCharsets.US_ASCII), complete);
    }

    private boolean readBody(Map<String, String> headers, ByteArrayOutputStream body) throws IOException {
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            while (true) {
                String size = readLine();
                if (size.isEmpty()) {
                    return false;
                }
                int length = Integer.parseInt(size, 16);
                if (!readBytes(length, body) || in.read() != '\r' || in.read() != '\n') {
                    return false;
                }
                if (length == 0) {
                    return true;
                }
            }
        }
        if (headers.containsKey("content-length")) {
            return readBytes(Integer.parseInt(headers.get("content-length")), body);
        }
        for (int value = in.read(); value >= 0; value = in.read()) {
            body.write(value);
        }
        return true;
    }

    private boolean readBytes(int length, ByteArrayOutputStream body) throws IOException {
        for (int index = 0; index < length; index++) {
            int value = in.read();
            if (value < 0) {
                return false;
            }
            body.write(value);
        }
        return true;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int value = in.read(); value >= 0 && value != '\n'; value = in.read()) {
            line.append((char) value);
        }
        return line.toString().strip();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
