package org.ebonyrun.base.wire;

import java.io.IOException;
import java.util.concurrent.atomic.LongAdder;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.tinylog.Logger;

/**
 * Splits the byte stream into frames of a four-byte big-endian length and a MessagePack body, and
 * passes the decoded messages to a listener.
 *
 * <p>Thread safe: the state is kept in connection attributes, and Grizzly runs one read of a
 * connection at a time. A frame that exceeds the limit or cannot be decoded closes the connection.
 */
final class FrameFilter extends BaseFilter {
    private static final int HEADER_BYTES = 4;

    private final MessageCodec mCodec;
    private final LinkListener mListener;
    private final int mMaxFrameBytes;
    private final int mMaxPendingBytes;
    private final LongAdder mReceivedBytes = new LongAdder();
    private final LongAdder mSentBytes = new LongAdder();
    private final Attribute<GrizzlyLink> mLink =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("ebonyrun.link." + hashCode());

    FrameFilter(MessageCodec codec, LinkListener listener, int maxFrameBytes, int maxPendingBytes) {
        mCodec = codec;
        mListener = listener;
        mMaxFrameBytes = maxFrameBytes;
        mMaxPendingBytes = maxPendingBytes;
    }

    /** Returns the link of a connection; creates it and notifies the listener on first use. */
    GrizzlyLink link(Connection<?> connection) {
        synchronized (connection) {
            GrizzlyLink link = mLink.get(connection);
            if (link == null) {
                GrizzlyLink created =
                        new GrizzlyLink(connection, mCodec, mMaxPendingBytes, mSentBytes);
                mLink.set(connection, created);
                mListener.onOpen(created);
                connection.addCloseListener((closed, type) -> mListener.onClose(created));
                return created;
            }
            return link;
        }
    }

    long bytesReceived() {
        return mReceivedBytes.sum();
    }

    long bytesSent() {
        return mSentBytes.sum();
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) throws IOException {
        link(ctx.getConnection());
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        GrizzlyLink link = link(ctx.getConnection());
        Buffer buffer = ctx.getMessage();
        while (buffer.remaining() >= HEADER_BYTES) {
            int length = buffer.getInt(buffer.position());
            if (length <= 0 || length > mMaxFrameBytes) {
                Logger.warn(
                        "peer={} invalid frame length {}; closing the link", link.peer(), length);
                link.close();
                return ctx.getStopAction();
            }
            if (buffer.remaining() < HEADER_BYTES + length) {
                break;
            }
            buffer.position(buffer.position() + HEADER_BYTES);
            byte[] frame = new byte[length];
            buffer.get(frame);
            mReceivedBytes.add(HEADER_BYTES + length);
            if (!deliver(link, frame)) {
                return ctx.getStopAction();
            }
        }
        if (buffer.hasRemaining()) {
            return ctx.getStopAction(buffer);
        }
        buffer.tryDispose();
        return ctx.getStopAction();
    }

    private boolean deliver(GrizzlyLink link, byte[] frame) {
        return mCodec.decode(frame, link.peer())
                .fold(
                        message -> {
                            mListener.onMessage(link, message);
                            return true;
                        },
                        fault -> {
                            Logger.warn(
                                    "peer={} malformed frame; closing the link: {}",
                                    link.peer(),
                                    fault.detail());
                            link.close();
                            return false;
                        });
    }
}
