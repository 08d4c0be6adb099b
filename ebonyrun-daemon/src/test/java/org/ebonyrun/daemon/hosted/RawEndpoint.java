package org.ebonyrun.daemon.hosted;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;

/**
 * An endpoint that answers each request with a given head and then with the same piece of a body
 * again and again, up to a limit or until the connection is closed.
 *
 * <p>Thread safe. Each connection is served by its own thread until it ends.
 */
final class RawEndpoint implements AutoCloseable {
    private final ServerSocket mServerSocket;
    private final UnaryOperator<String> mHeadById;
    private final byte[] mPiece;
    private final long mMaxBytes;
    private final AtomicLong mWritten = new AtomicLong();
    private final CompletableFuture<Void> mEnded = new CompletableFuture<>();

    private RawEndpoint(
            ServerSocket serverSocket, UnaryOperator<String> headById, byte[] piece, long max) {
        mServerSocket = serverSocket;
        mHeadById = headById;
        mPiece = piece;
        mMaxBytes = max;
    }

    /**
     * Starts an endpoint on a free loopback port.
     *
     * @param headById returns the head of the response to the request with an ID
     * @param maxBytes the size of the body, in bytes
     */
    static RawEndpoint start(UnaryOperator<String> headById, byte[] piece, long maxBytes)
            throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        RawEndpoint endpoint =
                new RawEndpoint(new ServerSocket(0, 50, loopback), headById, piece, maxBytes);
        startThread(endpoint::accept);
        return endpoint;
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "raw-endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", mServerSocket.getLocalPort());
    }

    /** Returns the number of bytes of bodies that were written. */
    long written() {
        return mWritten.get();
    }

    /** Returns a future that completes when the first response has ended. */
    CompletableFuture<Void> ended() {
        return mEnded;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServerSocket.accept();
                startThread(() -> serve(socket));
            }
        } catch (IOException ignored) {
            // The test has closed the endpoint.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String head = readHead(in);
            in.skipNBytes(Long.parseLong(header(head, "Content-Length", "0")));
            String id = header(head, "X-Request-Id", "");
            socket.getOutputStream().write(mHeadById.apply(id).getBytes(StandardCharsets.US_ASCII));
            long written = 0;
            while (written < mMaxBytes) {
                socket.getOutputStream().write(mPiece);
                written += mPiece.length;
                mWritten.addAndGet(mPiece.length);
            }
            in.read();
        } catch (IOException ignored) {
            // The entry has closed the connection.
        } finally {
            mEnded.complete(null);
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended within a request");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static String header(String head, String name, String fallback) {
        for (String line : head.split("\r\n")) {
            if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return fallback;
    }

    @Override
    public void close() throws IOException {
        mServerSocket.close();
    }
}
