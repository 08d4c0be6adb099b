package org.ebonyrun.core.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.TrainerId;
import org.jspecify.annotations.Nullable;

/**
 * Finished samples that are held until they are released.
 *
 * <p>Invariant: at most one sample per slot; the first finished sample of a slot is kept. Nothing
 * is evicted: the agent refuses new samples while the store is full.
 *
 * <p>Not thread safe; confined to the attempt event loop.
 */
final class SampleStore {
    private final Map<SampleKey, StoredSample> mSamples = new HashMap<>();
    private long mBytes;

    /** A finished sample and its content. */
    record StoredSample(SampleInfo info, byte[] content) {}

    /** Stores a sample unless its slot is filled. Returns the sample that the slot holds. */
    StoredSample addIfAbsent(SampleKey key, SampleInfo info, byte[] content) {
        StoredSample existing = mSamples.get(key);
        if (existing != null) {
            return existing;
        }
        StoredSample stored = new StoredSample(info, content);
        mSamples.put(key, stored);
        mBytes += content.length;
        return stored;
    }

    @Nullable StoredSample get(SampleKey key) {
        return mSamples.get(key);
    }

    void release(SampleKey key) {
        StoredSample stored = mSamples.remove(key);
        if (stored != null) {
            mBytes -= stored.content().length;
        }
    }

    List<AttemptMessage.HeldSample> findByStep(TrainerId trainer, long step) {
        List<AttemptMessage.HeldSample> held = new ArrayList<>();
        mSamples.forEach(
                (key, stored) -> {
                    if (key.trainer().equals(trainer) && key.step() == step) {
                        held.add(new AttemptMessage.HeldSample(key, stored.info()));
                    }
                });
        return held;
    }

    long totalBytes() {
        return mBytes;
    }

    int size() {
        return mSamples.size();
    }
}
