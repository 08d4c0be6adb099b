package org.ebonyrun.ports.http;

import java.util.Iterator;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The connections of a server whose requests wait for memory, in the order in which they came, and
 * the number of those whose requests were refused and are still read.
 *
 * <p>Thread safe, except that {@link #resume} must be called by one thread.
 */
final class MemoryQueue implements RequestReader.Waiting {
    private final Queue<RequestReader> mReaders = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mCount = new AtomicInteger();
    private final AtomicInteger mLingering = new AtomicInteger();
    private final int mMaxLingering;

    /**
     * Creates an empty queue.
     *
     * @param maxLingering how many refused requests may be read to their end at the same time
     */
    MemoryQueue(int maxLingering) {
        mMaxLingering = maxLingering;
    }

    @Override
    public int count() {
        return mCount.get();
    }

    @Override
    public void add(RequestReader reader) {
        mCount.incrementAndGet();
        mReaders.add(reader);
    }

    @Override
    public boolean tryLinger() {
        if (mLingering.incrementAndGet() > mMaxLingering) {
            mLingering.decrementAndGet();
            return false;
        }
        return true;
    }

    @Override
    public void stopLingering() {
        mLingering.decrementAndGet();
    }

    /** Goes on with the requests for which there is memory, and refuses those that waited long. */
    void resume() {
        boolean isNext = true;
        for (Iterator<RequestReader> readers = mReaders.iterator(); readers.hasNext(); ) {
            if (readers.next().resume(isNext)) {
                readers.remove();
                mCount.decrementAndGet();
            } else {
                isNext = false;
            }
        }
    }
}
