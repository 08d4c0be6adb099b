package org.ebonyrun.core.stream;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The origins of the streams that this process carries or has carried, and which buckets of them
 * have changed since they were last written.
 *
 * <p>Invariants: a stream keeps the origin with which it was added; it stays until its caller stops
 * waiting, or until there are too many streams.
 *
 * <p>Not thread safe; confined to the event loop of its {@link StreamOriginMachine}.
 */
final class StreamRecords {
    private record Entry(StreamOrigin origin, long expiresAt) {}

    private final int mMaxStreams;
    private final Map<StreamId, Entry> mStreams = new LinkedHashMap<>();
    private final BitSet mChanged = new BitSet(StreamId.BUCKETS);

    /**
     * Creates records without streams.
     *
     * @param maxStreams the number of streams beyond which the oldest is dropped
     */
    StreamRecords(int maxStreams) {
        checkArgument(maxStreams > 0, "maximum of streams is not positive: %s", maxStreams);
        mMaxStreams = maxStreams;
    }

    /** Adds a stream; does nothing but prolong its record if it is known. */
    void add(StreamId id, StreamOrigin origin, long expiresAt) {
        Entry known = mStreams.remove(id);
        mStreams.put(id, new Entry(known == null ? origin : known.origin(), expiresAt));
        mChanged.set(id.bucket());
        if (mStreams.size() > mMaxStreams) {
            mStreams.remove(mStreams.keySet().iterator().next());
        }
    }

    @Nullable StreamOrigin get(StreamId id) {
        Entry entry = mStreams.get(id);
        return entry == null ? null : entry.origin();
    }

    boolean isEmpty() {
        return mStreams.isEmpty();
    }

    int size() {
        return mStreams.size();
    }

    /** Removes the streams whose callers wait no longer. */
    void removeExpired(long now) {
        List<StreamId> expired = new ArrayList<>();
        mStreams.forEach(
                (id, entry) -> {
                    if (now - entry.expiresAt() >= 0) {
                        expired.add(id);
                    }
                });
        expired.forEach(mStreams::remove);
    }

    /** Counts all buckets that have streams as changed. */
    void setAllChanged() {
        mStreams.keySet().forEach(id -> mChanged.set(id.bucket()));
    }

    boolean isChanged() {
        return !mChanged.isEmpty();
    }

    /**
     * Returns the streams of the changed buckets, by bucket, and counts them as unchanged. The
     * first bucket is always among them, so that the entries that write can be counted there.
     */
    Map<Integer, Map<StreamId, StreamOrigin>> takeChanged() {
        Map<Integer, Map<StreamId, StreamOrigin>> buckets = new TreeMap<>();
        mChanged.set(0);
        mChanged.stream().forEach(bucket -> buckets.put(bucket, new HashMap<>()));
        mStreams.forEach(
                (id, entry) -> {
                    Map<StreamId, StreamOrigin> bucket = buckets.get(id.bucket());
                    if (bucket != null) {
                        bucket.put(id, entry.origin());
                    }
                });
        mChanged.clear();
        return buckets;
    }
}
