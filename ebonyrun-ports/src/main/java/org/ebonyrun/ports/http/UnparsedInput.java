package org.ebonyrun.ports.http;

import org.ebonyrun.base.memory.MemoryClaim;

/**
 * Accounts for what was read from one connection and is kept because it is no complete part of a
 * request: heads, lines of chunks and trailers that have not ended.
 *
 * <p>Invariant: the claim covers all bytes of earlier reads that were not parsed. Outside of
 * chunked bodies, the read at hand is not in it: there is one at a time, and most are parsed at
 * once.
 *
 * <p>Thread safe.
 */
final class UnparsedInput {
    // The buffer that the codec keeps for each read.
    private static final int READ_OVERHEAD_BYTES = 128;

    private final MemoryClaim mClaim;
    private int mLastReadBytes;
    // Bytes that were read since a part of a request was parsed, without those that are kept.
    private int mNewBytes;
    private long mKeptBytes;
    private long mKeptReads;
    private boolean mReleased;

    /**
     * Creates the account of a connection.
     *
     * @param claim an empty claim
     */
    UnparsedInput(MemoryClaim claim) {
        mClaim = claim;
    }

    /** Enters bytes that were read; returns whether there is memory for those that came before. */
    synchronized boolean add(int bytes) {
        boolean kept = mNewBytes == 0 || keep(mKeptBytes + mNewBytes, mKeptReads + 1);
        mNewBytes = bytes;
        mLastReadBytes = bytes;
        return kept;
    }

    /**
     * Enters bytes that were read within a chunked body, which may be kept unnoticed as they may be
     * a line without end; returns whether there is memory for them.
     */
    synchronized boolean addOfChunks(int bytes) {
        // The empty addition makes these bytes earlier ones, which the claim covers.
        return add(bytes) && add(0);
    }

    /**
     * Records that the codec keeps the start of a head; returns whether there is memory for it.
     *
     * @param bytes the bytes of the head that were read, from all reads
     */
    synchronized boolean onHeadIncomplete(int bytes) {
        // The whole read is held for a head that begins in it.
        long earlier = bytes > mNewBytes ? mKeptBytes : 0;
        long total = earlier + mNewBytes;
        mNewBytes = 0;
        return keep(total, mKeptReads + 1);
    }

    /** Records that a part of a request was parsed. */
    synchronized void onParsed() {
        mNewBytes = 0;
        keep(0, 0);
    }

    private boolean keep(long bytes, long reads) {
        long growth = bytes - mKeptBytes + (reads - mKeptReads) * READ_OVERHEAD_BYTES;
        if (mReleased) {
            return true;
        }
        if (growth > 0 && !mClaim.tryGrow(growth)) {
            return false;
        }
        if (growth < 0) {
            mClaim.shrink(-growth);
        }
        mKeptBytes = bytes;
        mKeptReads = reads;
        return true;
    }

    /** Returns the size of the last read, which is held as long as a request that began in it. */
    synchronized int lastReadBytes() {
        return mLastReadBytes;
    }

    /** Returns the number of bytes that are kept. */
    synchronized long keptBytes() {
        return mKeptBytes;
    }

    /** Gives the memory back; called once, at the end of the connection. */
    synchronized void release() {
        mReleased = true;
        mClaim.release();
    }
}
