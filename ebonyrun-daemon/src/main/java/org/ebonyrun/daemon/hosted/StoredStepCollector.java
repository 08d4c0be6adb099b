package org.ebonyrun.daemon.hosted;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.ebonyrun.base.memory.MemoryClaim;
import org.ebonyrun.core.step.SampleCheckpoint;
import org.ebonyrun.core.step.SampleResult;
import org.ebonyrun.ports.store.StoreItem;

/**
 * Collects the data of a step as it is read from the shared store.
 *
 * <p>Invariant: the claim covers the submission. One whose size is known is held once.
 *
 * <p>Not thread safe.
 */
final class StoredStepCollector {
    private static final byte[] EMPTY = new byte[0];

    private final int mSubmissionBytes;
    private final MemoryClaim mMemory;
    private final List<SampleResult> mResults = new ArrayList<>();
    private final List<SampleCheckpoint> mCheckpoints = new ArrayList<>();
    private byte[] mSubmission = EMPTY;
    private int mSize;

    /**
     * Creates a collector.
     *
     * @param submissionBytes the size of the submission; zero if it is unknown
     * @param memory the claim that grows by the submission
     */
    StoredStepCollector(int submissionBytes, MemoryClaim memory) {
        mSubmissionBytes = submissionBytes;
        mMemory = memory;
    }

    /**
     * Adds an item; one that is of a later version is ignored.
     *
     * @throws IllegalArgumentException if its value is malformed
     * @throws org.ebonyrun.base.memory.MemoryRefusedException if the submission does not fit
     */
    void add(StoreItem item) {
        if (StoreKeys.isChunkKey(item.key())) {
            addChunk(item.value());
        } else if (StoreKeys.isResultKey(item.key())) {
            mResults.addAll(StepCodec.results(item.value()));
        } else if (StoreKeys.isCheckpointKey(item.key())) {
            mCheckpoints.addAll(StepCodec.checkpoint(item.value()));
        }
    }

    private void addChunk(byte[] chunk) {
        int size = mSize + chunk.length;
        if (size > mSubmission.length) {
            checkArgument(
                    mSubmissionBytes == 0 || size <= mSubmissionBytes,
                    "the submission has over %s bytes",
                    mSubmissionBytes);
            int before = mSubmission.length;
            int after = mSubmissionBytes == 0 ? Math.max(size, 2 * before) : mSubmissionBytes;
            mMemory.growOrThrow(after);
            mSubmission = Arrays.copyOf(mSubmission, after);
            mMemory.shrink(before);
        }
        System.arraycopy(chunk, 0, mSubmission, mSize, chunk.length);
        mSize = size;
    }

    /** Returns what was collected. */
    StoredStep finish(long revision) {
        byte[] submission =
                mSize == mSubmission.length ? mSubmission : Arrays.copyOf(mSubmission, mSize);
        return new StoredStep(submission, mResults, mCheckpoints, revision);
    }
}
