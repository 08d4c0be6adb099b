package org.ebonyrun.daemon.hosted;

import java.util.Locale;
import java.util.Map;
import org.ebonyrun.base.memory.BodyAdmission;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.base.memory.MemoryClass;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.platform.FrontProtocol;
import org.ebonyrun.ports.http.FrontMemory;

/** The memory of an entry that is held for callers and trainers. Thread safe. */
final class EntryMemory {
    // Callers give up on a request that is not read for a second.
    private static final long MAX_WAIT_NANOS = Nanos.ofMillis(700);
    private static final int MAX_WAITING = 64;
    // What was read of a waiting request is in no account: a read, and a copy of its parts.
    private static final long WAITING_BYTES = 2 * 64 * 1024;
    private static final int WAITING_HEAP_DIVISOR = 20;
    private static final long RETRY_AFTER_MILLIS = 500;

    private final MemoryAccount mAccount;
    private final FrontMemory mFront;

    private EntryMemory(MemoryAccount account, int maxWaiting) {
        mAccount = account;
        mFront =
                new FrontMemory(
                        account,
                        new BodyAdmission(MAX_WAIT_NANOS, maxWaiting),
                        FrontProtocol.retryAfterHeaders("", RETRY_AFTER_MILLIS));
    }

    /** Creates the account of this process, whose limit follows from its heap. */
    static EntryMemory ofHeap() {
        long heap = Runtime.getRuntime().maxMemory();
        return new EntryMemory(MemoryAccount.ofHeap(heap), maxWaiting(heap));
    }

    /** Returns how many requests may wait, so that they hold a twentieth of the heap at most. */
    static int maxWaiting(long heapBytes) {
        return (int) Math.min(MAX_WAITING, heapBytes / WAITING_HEAP_DIVISOR / WAITING_BYTES);
    }

    MemoryAccount account() {
        return mAccount;
    }

    /** Returns what the entry's front may hold. */
    FrontMemory front() {
        return mFront;
    }

    void addGauges(Map<String, Double> gauges) {
        gauges.put("ebonyrun_entry_memory_limit_bytes", (double) mAccount.limit());
        for (MemoryClass memoryClass : MemoryClass.values()) {
            String prefix = "ebonyrun_entry_memory_" + memoryClass.name().toLowerCase(Locale.ROOT);
            gauges.put(prefix + "_bytes", (double) mAccount.held(memoryClass));
            gauges.put(prefix + "_refused", (double) mAccount.refused(memoryClass));
        }
    }
}
