package org.ebonyrun.base.wire;

import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.Writeable;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * A link over a Grizzly TCP connection.
 *
 * <p>Thread safe: Grizzly queues concurrent writes; the number of pending bytes is atomic.
 */
final class GrizzlyLink implements Link {
    private final Connection<?> mConnection;
    private final MessageCodec mCodec;
    private final int mMaxPendingBytes;
    private final AtomicInteger mPendingBytes = new AtomicInteger();
    private final LongAdder mSentBytes;
    private final String mPeer;

    GrizzlyLink(
            Connection<?> connection,
            MessageCodec codec,
            int maxPendingBytes,
            LongAdder sentBytes) {
        mSentBytes = sentBytes;
        mConnection = connection;
        mCodec = codec;
        mMaxPendingBytes = maxPendingBytes;
        mPeer = String.valueOf(connection.getPeerAddress());
    }

    @Override
    public boolean send(Message message) {
        if (!mConnection.isOpen()) {
            return false;
        }
        if (mPendingBytes.get() > mMaxPendingBytes) {
            mConnection.closeSilently();
            return false;
        }
        byte[] body = mCodec.encode(message);
        ByteBuffer frame = ByteBuffer.allocate(Integer.BYTES + body.length);
        frame.putInt(body.length).put(body).flip();
        int size = frame.remaining();
        mPendingBytes.addAndGet(size);
        mSentBytes.add(size);
        Buffer buffer = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, frame);
        Writeable<SocketAddress> writeable = writeable();
        writeable.write(
                buffer,
                new EmptyCompletionHandler<WriteResult<Buffer, SocketAddress>>() {
                    @Override
                    public void completed(WriteResult<Buffer, SocketAddress> result) {
                        mPendingBytes.addAndGet(-size);
                    }

                    @Override
                    public void failed(Throwable cause) {
                        mPendingBytes.addAndGet(-size);
                        mConnection.closeSilently();
                    }
                });
        return true;
    }

    @SuppressWarnings("unchecked")
    private Writeable<SocketAddress> writeable() {
        return (Writeable<SocketAddress>) mConnection;
    }

    @Override
    public String peer() {
        return mPeer;
    }

    @Override
    public boolean isOpen() {
        return mConnection.isOpen();
    }

    @Override
    public void close() {
        mConnection.closeSilently();
    }
}
