package org.ebonyrun.base.memory;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * Bytes of a {@link MemoryAccount} that are held for one purpose. They are given back when the last
 * holder releases the claim; whoever keeps the bytes beyond its caller retains the claim.
 *
 * <p>Thread safe.
 */
public final class MemoryClaim {
    private final MemoryAccount mAccount;
    private final MemoryClass mClass;
    private long mBytes;
    private int mHolders = 1;

    MemoryClaim(MemoryAccount account, MemoryClass memoryClass) {
        mAccount = account;
        mClass = memoryClass;
    }

    /** Returns the account. */
    public MemoryAccount account() {
        return mAccount;
    }

    /** Takes more bytes if they fit; returns whether they do. */
    public synchronized boolean tryGrow(long bytes) {
        checkArgument(bytes >= 0, "negative size: %s", bytes);
        checkHeld();
        if (!mAccount.tryTake(mClass, bytes, mBytes + bytes)) {
            return false;
        }
        mBytes += bytes;
        return true;
    }

    /**
     * Takes more bytes.
     *
     * @throws MemoryRefusedException if they don't fit
     */
    public void growOrThrow(long bytes) {
        if (!tryGrow(bytes)) {
            throw new MemoryRefusedException(mAccount, bytes() + bytes);
        }
    }

    /** Takes more bytes, whether they fit or not, for what can't be refused any more. */
    public synchronized void grow(long bytes) {
        checkArgument(bytes >= 0, "negative size: %s", bytes);
        checkHeld();
        mAccount.add(mClass, bytes);
        mBytes += bytes;
    }

    /** Gives some of the bytes back. */
    public synchronized void shrink(long bytes) {
        checkArgument(bytes >= 0 && bytes <= mBytes, "%s of %s bytes", bytes, mBytes);
        mAccount.add(mClass, -bytes);
        mBytes -= bytes;
    }

    /** Adds a holder. */
    public synchronized MemoryClaim retain() {
        checkHeld();
        mHolders++;
        return this;
    }

    /** Removes a holder; the last one gives the bytes back. */
    public synchronized void release() {
        checkHeld();
        mHolders--;
        if (mHolders == 0) {
            mAccount.add(mClass, -mBytes);
            mBytes = 0;
        }
    }

    private void checkHeld() {
        checkState(mHolders > 0, "the claim was released");
    }

    /** Returns the number of bytes of this claim. */
    public synchronized long bytes() {
        return mBytes;
    }
}
