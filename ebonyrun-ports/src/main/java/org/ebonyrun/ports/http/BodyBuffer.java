package org.ebonyrun.ports.http;

import java.io.ByteArrayOutputStream;
import org.glassfish.grizzly.Buffer;

/**
 * Buffers the body of one request up to a size limit.
 *
 * <p>Not thread safe; used by the I/O thread, except for {@link #size}, which is thread safe.
 */
final class BodyBuffer {
    private final int mLimit;
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private boolean mTooLarge;

    BodyBuffer(int limit) {
        mLimit = limit;
    }

    void add(Buffer buffer) {
        if (mBytes.size() + (long) buffer.remaining() > mLimit) {
            mTooLarge = true;
            return;
        }
        byte[] piece = new byte[buffer.remaining()];
        buffer.get(piece);
        mBytes.writeBytes(piece);
    }

    int size() {
        return mBytes.size();
    }

    boolean isTooLarge() {
        return mTooLarge;
    }

    byte[] bytes() {
        return mBytes.toByteArray();
    }
}
