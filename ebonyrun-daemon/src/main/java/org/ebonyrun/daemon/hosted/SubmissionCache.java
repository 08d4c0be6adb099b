package org.ebonyrun.daemon.hosted;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.ebonyrun.base.memory.MemoryAccount;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.step.StepSpec;
import org.jspecify.annotations.Nullable;

/**
 * The submissions of steps of other owners whose samples were read lately.
 *
 * <p>Invariant: it holds at most a sixteenth of the memory of its account, however many steps that
 * are; a larger step is not kept. It gives way to steps that are to be loaded.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class SubmissionCache {
    private static final int SHARE = 16;

    private final MemoryAccount mAccount;
    private final long mMaxBytes;
    private final Map<StepId, LoadedStep> mSteps = new LinkedHashMap<>(16, 0.75f, true);
    private long mBytes;

    SubmissionCache(MemoryAccount account) {
        mAccount = account;
        mMaxBytes = account.limit() / SHARE;
    }

    /** Returns a step; null if it is not kept. */
    @Nullable StepSpec get(StepId step) {
        LoadedStep loaded = mSteps.get(step);
        return loaded == null ? null : loaded.spec();
    }

    /** Adds a step, whose memory is held from now on until it is evicted. */
    void add(LoadedStep loaded) {
        LoadedStep replaced = mSteps.put(loaded.spec().id(), loaded);
        mBytes += loaded.memory().bytes();
        if (replaced != null) {
            release(replaced);
        }
        evictWhile(() -> mBytes > mMaxBytes);
    }

    /** Evicts as many steps as it takes for a claim of the given size to fit, if it can. */
    void makeRoom(long bytes) {
        evictWhile(() -> mAccount.available(bytes) < bytes);
    }

    private void evictWhile(BooleanSupplier condition) {
        Iterator<LoadedStep> eldest = mSteps.values().iterator();
        while (condition.getAsBoolean() && eldest.hasNext()) {
            LoadedStep evicted = eldest.next();
            eldest.remove();
            release(evicted);
        }
    }

    private void release(LoadedStep loaded) {
        mBytes -= loaded.memory().bytes();
        loaded.memory().release();
    }
}
