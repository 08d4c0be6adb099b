package org.ebonyrun.base.memory;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.EnumMap;
import java.util.Map;

/**
 * Accounts for the heap that a process holds on behalf of others, over all connections.
 *
 * <p>A limit for each request bounds nothing as long as any number of requests may arrive; this
 * account bounds their sum. Small claims may use the whole limit, large ones leave a share of it to
 * them, so that large bodies can't displace small requests.
 *
 * <p>Invariants: what is held equals the sum of all claims that were not released; it exceeds the
 * limit only by what was taken by {@link MemoryClaim#grow}, for bytes that can't be refused.
 *
 * <p>Thread safe.
 */
public final class MemoryAccount {
    /** Claims up to this size are small. */
    public static final long SMALL_BYTES = 64 * 1024;

    // The rest of the heap holds the process's own state, copies on the way to sockets and to the
    // shared store, and the young generation, in which a large array has no room.
    private static final double HEAP_FRACTION = 0.45;
    private static final double SMALL_SHARE = 0.125;

    private final long mLimit;
    private final long mLargeLimit;
    private final Map<MemoryClass, Long> mHeld = new EnumMap<>(MemoryClass.class);
    private final Map<MemoryClass, Long> mRefused = new EnumMap<>(MemoryClass.class);
    private long mTotal;

    private MemoryAccount(long limit, long largeLimit) {
        mLimit = limit;
        mLargeLimit = largeLimit;
    }

    /** Creates an account with the given limit in bytes. */
    public static MemoryAccount withLimit(long limitBytes) {
        checkArgument(limitBytes > 0, "limit is not positive: %s", limitBytes);
        return new MemoryAccount(limitBytes, limitBytes - (long) (limitBytes * SMALL_SHARE));
    }

    /** Creates an account whose limit follows from the maximum size of the heap. */
    public static MemoryAccount ofHeap(long maxHeapBytes) {
        return withLimit((long) (maxHeapBytes * HEAP_FRACTION));
    }

    /** Creates an account that refuses nothing. */
    public static MemoryAccount unlimited() {
        return new MemoryAccount(Long.MAX_VALUE, Long.MAX_VALUE);
    }

    /** Opens a claim of no bytes. */
    public MemoryClaim open(MemoryClass memoryClass) {
        return new MemoryClaim(this, memoryClass);
    }

    /** Returns whether a claim of the given size fits while nothing else is held. */
    public boolean canEverHold(long bytes) {
        return bytes <= limitOf(bytes);
    }

    private long limitOf(long claimBytes) {
        return claimBytes <= SMALL_BYTES ? mLimit : mLargeLimit;
    }

    /**
     * Takes bytes for a claim if they fit.
     *
     * @param claimBytes the size of the claim with these bytes
     */
    synchronized boolean tryTake(MemoryClass memoryClass, long bytes, long claimBytes) {
        if (bytes > limitOf(claimBytes) - mTotal) {
            return false;
        }
        add(memoryClass, bytes);
        return true;
    }

    /** Takes bytes, or gives back if negative, whether they fit or not. */
    synchronized void add(MemoryClass memoryClass, long bytes) {
        mTotal += bytes;
        mHeld.merge(memoryClass, bytes, Long::sum);
    }

    /** Counts a request that is refused because its claim does not fit. */
    public synchronized void countRefused(MemoryClass memoryClass) {
        mRefused.merge(memoryClass, 1L, Long::sum);
    }

    /** Returns the limit, in bytes. */
    public long limit() {
        return mLimit;
    }

    /** Returns how many bytes a claim of the given size may still take. */
    public synchronized long available(long claimBytes) {
        return limitOf(claimBytes) - mTotal;
    }

    /** Returns the number of bytes that are held. */
    public synchronized long held() {
        return mTotal;
    }

    /** Returns the number of bytes that are held for a class. */
    public synchronized long held(MemoryClass memoryClass) {
        return mHeld.getOrDefault(memoryClass, 0L);
    }

    /** Returns how many requests were refused because a claim of a class did not fit. */
    public synchronized long refused(MemoryClass memoryClass) {
        return mRefused.getOrDefault(memoryClass, 0L);
    }
}
