package org.ebonyrun.ports.http;

import java.util.Arrays;
import org.ebonyrun.base.memory.MemoryClaim;
import org.glassfish.grizzly.Buffer;

/**
 * Buffers the body of one request up to a size limit.
 *
 * <p>Invariant: the claim covers the array. A body whose length is known is held in an array of
 * that length, without a copy.
 *
 * <p>Not thread safe; guarded by its {@link RequestReader}, except for {@link #size}, which is
 * thread safe.
 */
final class BodyBuffer {
    private static final byte[] EMPTY = new byte[0];
    private static final int MIN_GROWTH_BYTES = 8 * 1024;

    private final int mLimit;
    private final MemoryClaim mClaim;
    private byte[] mBytes = EMPTY;
    private volatile int mSize;

    BodyBuffer(int limit, MemoryClaim claim) {
        mLimit = limit;
        mClaim = claim;
    }

    /** Allocates the whole body, which the claim covers already. */
    void allocate(int length) {
        mBytes = new byte[length];
    }

    /** Returns whether the body would be too large with more bytes. */
    boolean exceedsLimit(int bytes) {
        return mSize + (long) bytes > mLimit;
    }

    /** Returns how many bytes must be claimed before more of the body can be added. */
    long missing(int bytes) {
        return mSize + bytes <= mBytes.length ? 0 : grownLength(bytes);
    }

    private int grownLength(int bytes) {
        long doubled = Math.max(MIN_GROWTH_BYTES, 2L * mBytes.length);
        return (int) Math.max(mSize + bytes, Math.min(mLimit, doubled));
    }

    /** Adds a part of the body, for which the memory is claimed. */
    void add(Buffer buffer) {
        int bytes = buffer.remaining();
        if (mSize + bytes > mBytes.length) {
            int before = mBytes.length;
            mBytes = Arrays.copyOf(mBytes, grownLength(bytes));
            mClaim.shrink(before);
        }
        buffer.get(mBytes, mSize, bytes);
        mSize += bytes;
    }

    int size() {
        return mSize;
    }

    /** Returns the body; no copy if its length was known. */
    byte[] bytes() {
        if (mSize < mBytes.length) {
            int before = mBytes.length;
            mClaim.grow(mSize);
            mBytes = Arrays.copyOf(mBytes, mSize);
            mClaim.shrink(before);
        }
        return mBytes;
    }
}
