package org.ebonyrun.core.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.TrainerId;
import org.jspecify.annotations.Nullable;

/**
 * Finished samples that are held until released.
 *
 * <p>Invariant: at most one sample a slot; the first one that finishes stays. Nothing is evicted:
 * the agent refuses new samples while the store is full.
 *
 * <p>Not thread safe; confined to the attempt duty.
 */
final class SampleStore {
    private final Map<SampleKey, StoredSample> mSamples = new HashMap<>();
    private long mBytes;

    /** A finished sample and its content. */
    record StoredSample(SampleInfo info, byte[] content) {}

    /** Stores a sample unless the slot is filled; returns what the slot holds now. */
    StoredSample addIfAbsent(SampleKey key, SampleInfo info, byte[] content) {
        StoredSample present = mSamples.get(key);
        if (present != null) {
            return present;
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
