package org.plantainwharf.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Passes bytes to a port at a limited rate in each direction, with small buffers. Thread-safe. */
final class SlowLinkProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 << 10;

    private final ServerSocket server;
    private final int targetPort;
    private final double bytesPerSecond;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    private SlowLinkProxy(ServerSocket server, int targetPort, double bytesPerSecond) {
        this.server = server;
        this.targetPort = targetPort;
        this.bytesPerSecond = bytesPerSecond;
    }

    static SlowLinkProxy start(int targetPort, double megabitsPerSecond) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReceiveBufferSize(BUFFER_BYTES);
        server.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        SlowLinkProxy proxy = new SlowLinkProxy(server, targetPort, megabitsPerSecond * 1e6 / 8);
        proxy.run("accept", proxy::accept);
        return proxy;
    }

    int port() {
        return server.getLocalPort();
    }

    /** Closes the connections that are open; new ones are accepted. */
    void reset() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        sockets.clear();
    }

    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    private void run(String name, Action action) {
        Thread thread = new Thread(
                () -> {
                    try {
                        action.run();
                    } catch (IOException e) {
                        // A connection or the proxy was closed.
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "proxy-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket near = server.accept();
            Socket far = new Socket();
            far.setReceiveBufferSize(BUFFER_BYTES);
            far.setSendBufferSize(BUFFER_BYTES);
            near.setSendBufferSize(BUFFER_BYTES);
            far.connect(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
            sockets.addAll(List.of(near, far));
            run("there", () -> pass(near, far));
            run("back", () -> pass(far, near));
        }
    }

    private void pass(Socket from, Socket to) throws IOException, InterruptedException {
        try (from;
                to) {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            byte[] buffer = new byte[4_096];
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                output.write(buffer, 0, count);
                TimeUnit.NANOSECONDS.sleep((long) (count * 1e9 / bytesPerSecond));
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        reset();
    }
}
