package org.plantainwharf.transport;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;

import org.plantainwharf.codec.Hello;
import org.plantainwharf.codec.PeerMessageCodec;

/** The remote side of a link as a plain socket, so that a test can send bytes that no daemon would send. */
final class RawPeer implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final Socket socket;
    private final DataOutputStream out;
    private final DataInputStream in;

    private RawPeer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        out = new DataOutputStream(socket.getOutputStream());
        in = new DataInputStream(socket.getInputStream());
    }

    static RawPeer connect(int port) throws IOException {
        return new RawPeer(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    void sendHello(Hello hello) throws IOException {
        sendFrame(PeerMessageCodec.create().encodeHello(hello));
    }

    void sendFrame(byte[] bytes) throws IOException {
        out.writeInt(bytes.length);
        out.write(bytes);
        out.flush();
    }

    /** Sends a length prefix and bytes whose number may differ from it. */
    void sendFrame(int length, byte[] bytes) throws IOException {
        out.writeInt(length);
        out.write(bytes);
        out.flush();
    }

    byte[] readFrame() throws IOException {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return bytes;
    }

    /** Waits until the other side closes the connection. Throws after {@link #READ_TIMEOUT_MILLIS} without data. */
    void awaitClosed() throws IOException {
        byte[] buffer = new byte[4_096];
        int count = 0;
        while (count >= 0) {
            try {
                count = in.read(buffer);
            } catch (java.net.SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                count = -1;
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
