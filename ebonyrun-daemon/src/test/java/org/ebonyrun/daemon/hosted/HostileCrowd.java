package org.ebonyrun.daemon.hosted;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Clients that send what one kind of misbehaviour prescribes, each on a connection of its own, and
 * read nothing. A client stops once it has sent its share of bytes, or the entry has closed its
 * connection; connections that are still open are held until the crowd is closed.
 *
 * <p>Confined to one thread, except for the senders that it starts.
 */
final class HostileCrowd implements AutoCloseable {
    /**
     * What each client of a crowd sends.
     *
     * @param name what is wrong with it
     * @param clients the number of clients
     * @param prefix what is sent once
     * @param repeated what is sent after it, over and over again; empty for nothing
     * @param writeBytes how much of it is sent at a time
     * @param maxBytes how much is sent at most
     */
    record Kind(
            String name,
            int clients,
            String prefix,
            String repeated,
            int writeBytes,
            long maxBytes) {
        private static final int LARGE_WRITE_BYTES = 64 * 1_024;

        /** Returns a kind that sends as fast as it can. */
        static Kind fast(String name, int clients, String prefix, String repeated, long maxBytes) {
            return new Kind(name, clients, prefix, repeated, LARGE_WRITE_BYTES, maxBytes);
        }

        /** Returns a kind that sends once and then holds its connections. */
        static Kind holding(String name, int clients, String sent) {
            return new Kind(name, clients, sent, "", 0, 0);
        }

        /** Returns a kind that sends one element at a time. */
        static Kind piecemeal(
                String name, int clients, String prefix, String repeated, long maxBytes) {
            return new Kind(name, clients, prefix, repeated, 1, maxBytes);
        }

        private byte[] piece() {
            int times = repeated.isEmpty() ? 0 : Math.max(1, writeBytes / repeated.length());
            return repeated.repeat(times).getBytes(StandardCharsets.ISO_8859_1);
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private final Kind mKind;
    private final List<Socket> mSockets = new ArrayList<>();
    private final List<CompletableFuture<Void>> mSenders = new ArrayList<>();
    private final ExecutorService mThreads = Executors.newCachedThreadPool();

    private HostileCrowd(Kind kind) {
        mKind = kind;
    }

    /** Connects clients to an entry and starts to send. */
    static HostileCrowd start(InetSocketAddress entry, Kind kind) {
        HostileCrowd crowd = new HostileCrowd(kind);
        for (int i = 0; i < kind.clients(); i++) {
            Socket socket = new Socket();
            crowd.mSockets.add(socket);
            crowd.mSenders.add(
                    CompletableFuture.runAsync(() -> crowd.send(socket, entry), crowd.mThreads));
        }
        return crowd;
    }

    private void send(Socket socket, InetSocketAddress entry) {
        byte[] piece = mKind.piece();
        try {
            socket.connect(entry);
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            out.write(mKind.prefix().getBytes(StandardCharsets.ISO_8859_1));
            for (long sent = 0; sent < mKind.maxBytes(); sent += piece.length) {
                out.write(piece);
            }
        } catch (IOException ignored) {
            // The entry has closed the connection, or the crowd has ended.
        }
    }

    /** Returns a future that completes when every client has sent its share or was disconnected. */
    CompletableFuture<Void> sent() {
        return CompletableFuture.allOf(mSenders.toArray(new CompletableFuture<?>[0]));
    }

    /** Disconnects all clients. */
    @Override
    public void close() throws IOException {
        for (Socket socket : mSockets) {
            socket.close();
        }
        mThreads.shutdown();
    }
}
