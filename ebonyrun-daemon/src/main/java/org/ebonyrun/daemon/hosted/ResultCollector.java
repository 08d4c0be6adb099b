package org.ebonyrun.daemon.hosted;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.List;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.ports.store.StoreItem;

/**
 * Collects the results around a position as they are read from the shared store, and leaves out the
 * values before it.
 *
 * <p>Invariants: the claim covers the results; they contain the position if a result is stored
 * there; no value is added once they do and have the size of a window.
 *
 * <p>Not thread safe.
 */
final class ResultCollector {
    private final int mPosition;
    private final long mWindowBytes;
    private final MemoryClaim mMemory;
    private final List<SampleResult> mResults = new ArrayList<>();
    private final List<Integer> mValueStarts = new ArrayList<>();
    private int mEnd;
    private long mBytes;
    private boolean mStopped;

    /**
     * Creates a collector.
     *
     * @param start the position of the value with which the read begins
     * @param position the position that is wanted
     * @param memory the claim that grows by the results
     */
    ResultCollector(int start, int position, long windowBytes, MemoryClaim memory) {
        mEnd = start;
        mPosition = position;
        mWindowBytes = windowBytes;
        mMemory = memory;
    }

    /**
     * Adds a value; returns whether the next one is wanted.
     *
     * @throws IllegalArgumentException if it is malformed or does not follow the last one
     * @throws org.ebonyrun.base.memory.MemoryRefusedException if it does not fit
     */
    boolean add(StoreItem item) {
        if (mEnd > mPosition && mBytes >= mWindowBytes) {
            mStopped = true;
            return false;
        }
        int start = StoreKeys.resultPosition(item.key());
        checkArgument(start == mEnd, "results from %s on follow those before %s", start, mEnd);
        List<SampleResult> results = StepCodec.results(item.value());
        mValueStarts.add(start);
        mEnd = start + results.size();
        if (mEnd > mPosition) {
            long bytes = results.stream().mapToLong(ResultWindow::bytes).sum();
            mMemory.growOrThrow(bytes);
            mBytes += bytes;
            mResults.addAll(results);
        }
        return true;
    }

    /** Returns whether results may follow that were not read. */
    boolean isStopped() {
        return mStopped;
    }

    /** Returns the position of the first collected result. */
    int first() {
        return mEnd - mResults.size();
    }

    /** Returns the position after the last collected result. */
    int end() {
        return mEnd;
    }

    List<SampleResult> results() {
        return mResults;
    }

    List<Integer> valueStarts() {
        return mValueStarts;
    }
}
