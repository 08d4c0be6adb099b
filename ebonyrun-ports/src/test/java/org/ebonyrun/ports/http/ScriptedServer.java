package org.ebonyrun.ports.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A server on loopback that reads requests without a body and lets a test write any bytes in
 * response.
 *
 * <p>Thread safe. Each connection is read by its own thread until it ends.
 */
final class ScriptedServer implements AutoCloseable {
    private static final int TIMEOUT_SECONDS = 10;
    private static final int BACKLOG = 50;
    private static final long MAX_ENDLESS_BYTES = 256L << 20;

    /**
     * A request.
     *
     * @param connection the connection that carried it
     * @param id the request's ID; empty if it has none
     */
    record Received(ServerConnection connection, String id) {
        /** Sends a response with the given request ID and a body that contains this ID. */
        void answer(String requestId) throws IOException {
            connection.write(ScriptedServer.response(200, requestId));
        }
    }

    private final ServerSocket mServerSocket;
    private final BlockingQueue<Received> mReceived = new LinkedBlockingQueue<>();
    private final List<ServerConnection> mConnections = new ArrayList<>();

    private ScriptedServer(ServerSocket listening) {
        mServerSocket = listening;
    }

    static ScriptedServer start() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        ScriptedServer server = new ScriptedServer(new ServerSocket(0, BACKLOG, loopback));
        thread("accept", server::accept);
        return server;
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", mServerSocket.getLocalPort());
    }

    /** Returns the next request. */
    Received next() throws InterruptedException {
        Received received = mReceived.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (received == null) {
            throw new AssertionError("no request arrived");
        }
        return received;
    }

    /** Returns a complete response with a request ID. */
    static String response(int status, String id) {
        return "HTTP/1.1 " + status + " X\r\nX-Id: " + id + "\r\n" + body("to " + id);
    }

    /** Returns a complete response without a request ID. */
    static String responseWithoutId(int status) {
        return "HTTP/1.1 " + status + " X\r\n" + body("to nobody");
    }

    private static String body(String text) {
        return "Content-Length: " + text.length() + "\r\n\r\n" + text;
    }

    private static void thread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                ServerConnection connection = new ServerConnection(mServerSocket.accept());
                synchronized (mConnections) {
                    mConnections.add(connection);
                }
                thread("connection", () -> read(connection));
            }
        } catch (IOException ignored) {
            // The test has closed the server.
        }
    }

    private void read(ServerConnection connection) {
        try {
            InputStream in = new BufferedInputStream(connection.mSocket.getInputStream());
            for (String id = id(in); id != null; id = id(in)) {
                mReceived.add(new Received(connection, id));
            }
        } catch (IOException ignored) {
            // A reset ends the connection as well.
        } finally {
            connection.mEnded.countDown();
        }
    }

    /** Reads a request and returns its ID; null at the end of the connection. */
    private static String id(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        int at = head.indexOf("X-Id: ");
        return at < 0 ? "" : head.substring(at + 6, head.indexOf("\r\n", at));
    }

    @Override
    public void close() throws IOException {
        mServerSocket.close();
        synchronized (mConnections) {
            for (ServerConnection connection : mConnections) {
                connection.close();
            }
        }
    }

    /** The server's end of one connection. */
    static final class ServerConnection {
        private final Socket mSocket;
        private final CountDownLatch mEnded = new CountDownLatch(1);

        private ServerConnection(Socket socket) throws IOException {
            mSocket = socket;
            mSocket.setTcpNoDelay(true);
        }

        void write(String text) throws IOException {
            mSocket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        /**
         * Writes {@code begin}, and then {@code repeated} until the client closes the connection.
         *
         * @return the number of bytes written
         */
        long writeUntilClosed(String begin, String repeated) {
            byte[] piece = repeated.repeat(8_192).getBytes(StandardCharsets.US_ASCII);
            long written = 0;
            try {
                write(begin);
                while (written < MAX_ENDLESS_BYTES) {
                    mSocket.getOutputStream().write(piece);
                    written += piece.length;
                }
            } catch (IOException ignored) {
                // The client has closed the connection.
            }
            return written;
        }

        /** Waits until the client has ended the connection. */
        void awaitEnd() throws InterruptedException {
            if (!mEnded.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("the connection is still open");
            }
        }

        void close() throws IOException {
            mSocket.close();
        }

        /** Ends the connection with a reset. */
        void reset() throws IOException {
            mSocket.setSoLinger(true, 0);
            mSocket.close();
        }
    }
}
