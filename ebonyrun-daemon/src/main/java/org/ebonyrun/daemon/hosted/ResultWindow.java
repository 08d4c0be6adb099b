package org.ebonyrun.daemon.hosted;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.ports.store.StoreChange;
import org.ebonyrun.ports.store.StoreItem;

/**
 * Some of the listed results of a step, in the order of their positions and without a gap.
 *
 * <p>Invariant: if there is a revision, no result after the window was stored at that revision.
 *
 * <p>Not thread safe.
 */
final class ResultWindow {
    // What a result takes beside its strings.
    private static final long RESULT_BYTES = 200;

    private final List<SampleResult> mResults = new ArrayList<>();
    // The positions at which values of the store are known to begin.
    private final TreeSet<Integer> mValueStarts = new TreeSet<>();
    private int mFirst;
    private long mRevision;
    private long mBytes;

    /** Returns the memory that a result takes, in bytes. */
    static long bytes(SampleResult result) {
        return RESULT_BYTES + result.text().length() + result.id().length();
    }

    /** Returns the memory that the results take, in bytes. */
    long bytes() {
        return mBytes;
    }

    /** Returns the number of results. */
    int size() {
        return mResults.size();
    }

    /** Returns the position after the last result. */
    int end() {
        return mFirst + mResults.size();
    }

    /** Returns the store revision up to which changes were applied; zero if a load must follow. */
    long revision() {
        return mRevision;
    }

    boolean contains(int position) {
        return position >= mFirst && position < end();
    }

    /** Returns a view of the results from a contained position on. */
    List<SampleResult> from(int position) {
        return mResults.subList(position - mFirst, mResults.size());
    }

    /** Returns the position of a value of the store that begins at a position or before it. */
    int valueStartBefore(int position) {
        Integer start = mValueStarts.floor(position);
        return start == null ? 0 : start;
    }

    /** Adds the results after the window, given all results from the first one on. */
    void adopt(List<SampleResult> listed) {
        if (listed.size() > end()) {
            addAll(listed.subList(end(), listed.size()));
        }
    }

    private void addAll(List<SampleResult> results) {
        mResults.addAll(results);
        results.forEach(result -> mBytes += bytes(result));
    }

    /** Takes over what was loaded: adds it to the results if they meet, or replaces them. */
    void onLoaded(ResultCollector loaded, long revision) {
        mValueStarts.addAll(loaded.valueStarts());
        if (loaded.first() < mFirst || loaded.first() > end()) {
            replace(loaded);
        } else if (loaded.end() > end()) {
            addAll(loaded.results().subList(end() - loaded.first(), loaded.results().size()));
        }
        if (!loaded.isStopped()) {
            mRevision = Math.max(mRevision, revision);
        }
    }

    private void replace(ResultCollector loaded) {
        List<SampleResult> results = new ArrayList<>(loaded.results());
        if (loaded.end() >= mFirst && loaded.end() <= end()) {
            results.addAll(mResults.subList(loaded.end() - mFirst, mResults.size()));
        } else {
            mRevision = 0;
        }
        mFirst = loaded.first();
        mResults.clear();
        mBytes = 0;
        addAll(results);
    }

    /** Handles the loss of the store's history, without which changes can't be applied. */
    void onHistoryLost() {
        mRevision = 0;
    }

    /** Applies changes up to a revision. One that would leave a gap makes a load necessary. */
    void apply(List<StoreChange> changes, long revision) {
        // Zero marks a load that is still needed, so it must not be overwritten.
        if (mRevision != 0) {
            mRevision = Math.max(mRevision, revision);
        }
        changes.forEach(this::apply);
    }

    private void apply(StoreChange change) {
        StoreItem item = change.item();
        if (item == null) {
            return;
        }
        int position = StoreKeys.resultPosition(item.key());
        mValueStarts.add(position);
        if (position == end()) {
            addAll(StepCodec.results(item.value()));
        } else if (position > end()) {
            mRevision = 0;
        }
    }

    /** Drops the results before a position; new ones are added after the window as before. */
    void dropBefore(int position) {
        int count = Math.max(0, Math.min(mResults.size(), position - mFirst));
        List<SampleResult> dropped = mResults.subList(0, count);
        dropped.forEach(result -> mBytes -= bytes(result));
        dropped.clear();
        mFirst += count;
    }
}
