package org.ebonyrun.core.stream;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.jspecify.annotations.Nullable;

/**
 * Looks up what began a stream that another entry has carried.
 *
 * <p>Designed for the few streams that break: a lookup reads the announced versions, and only if
 * there are several, the records of the stream. Both reads begin after the lookup, so that they see
 * what was announced before the stream began. A record may still be on its way when the caller
 * comes again; it is looked up a few times.
 *
 * <p>Invariant: a lookup ends once, unless it is abandoned.
 *
 * <p>Not thread safe; confined to the event loop of its {@link StreamOriginMachine}.
 */
final class OriginLookups {
    private static final int MAX_LOOKUPS = 256;
    private static final long[] DELAYS_NANOS = {
        Nanos.ofMillis(60), Nanos.ofMillis(150), Nanos.ofMillis(250)
    };

    /** A stream whose origin is being looked up. */
    private static final class Lookup {
        final @Nullable StreamId mStream;
        final Set<ServiceName> mServices;
        int mFailedReads;
        boolean mWaiting;
        long mReadAt;
        String mReason = "";

        Lookup(@Nullable StreamId stream, Set<ServiceName> services) {
            mStream = stream;
            mServices = Set.copyOf(services);
        }
    }

    private final SoftwareTables mTables;
    private final StreamOriginOutputs mOutputs;
    private final Map<Long, Lookup> mLookups = new LinkedHashMap<>();

    OriginLookups(SoftwareTables tables, StreamOriginOutputs outputs) {
        mTables = tables;
        mOutputs = outputs;
    }

    void start(long id, @Nullable StreamId stream, Set<ServiceName> services) {
        if (mLookups.size() >= MAX_LOOKUPS) {
            mOutputs.onResolved(id, null, "too many streams are being looked up");
            return;
        }
        Lookup lookup = new Lookup(stream, services);
        mLookups.put(id, lookup);
        read(id, lookup);
    }

    void remove(long id) {
        mLookups.remove(id);
    }

    private void read(long id, Lookup lookup) {
        lookup.mWaiting = false;
        ServiceName first = lookup.mServices.iterator().next();
        if (lookup.mServices.size() > 1 || mTables.isAmbiguous(first)) {
            readRecords(id, lookup);
        } else {
            mOutputs.readTableFor(id, first);
        }
    }

    private void readRecords(long id, Lookup lookup) {
        if (lookup.mStream == null) {
            end(id, null, "the caller does not name the stream's first request");
        } else {
            mOutputs.readRecords(id, lookup.mStream);
        }
    }

    /** Handles the versions that are announced for the only service of a lookup's route. */
    void onTable(long id, ServiceName service, Set<String> versions, long now) {
        Lookup lookup = mLookups.get(id);
        if (lookup == null) {
            return;
        }
        if (versions.size() == 1) {
            StreamOrigin origin = new StreamOrigin(service, versions.iterator().next());
            end(id, origin, "only this version is announced");
        } else if (versions.isEmpty()) {
            end(id, null, "no version is announced");
        } else {
            readRecords(id, lookup);
        }
    }

    /** Handles the origins that all entries have recorded for a stream. */
    void onRecords(long id, Set<StreamOrigin> origins, long now) {
        if (!mLookups.containsKey(id)) {
            return;
        }
        if (origins.size() == 1) {
            end(id, origins.iterator().next(), "recorded");
        } else if (origins.isEmpty()) {
            onMissing(id, "no entry has a record of the stream", now);
        } else {
            end(id, null, "the records of the stream differ");
        }
    }

    /** Handles a read that failed, or that found no record. */
    void onMissing(long id, String reason, long now) {
        Lookup lookup = mLookups.get(id);
        if (lookup == null) {
            return;
        }
        lookup.mReason = reason;
        if (lookup.mFailedReads >= DELAYS_NANOS.length || !mOutputs.isStoreAvailable()) {
            end(id, null, reason);
            return;
        }
        lookup.mReadAt = now + DELAYS_NANOS[lookup.mFailedReads++];
        lookup.mWaiting = true;
    }

    /** Repeats the reads that are due. */
    void onTick(long now) {
        for (Map.Entry<Long, Lookup> entry : List.copyOf(mLookups.entrySet())) {
            Lookup lookup = entry.getValue();
            if (!lookup.mWaiting) {
                continue;
            }
            if (!mOutputs.isStoreAvailable()) {
                end(entry.getKey(), null, lookup.mReason);
            } else if (now - lookup.mReadAt >= 0) {
                read(entry.getKey(), lookup);
            }
        }
    }

    private void end(long id, @Nullable StreamOrigin origin, String reason) {
        mLookups.remove(id);
        mOutputs.onResolved(id, origin, reason);
    }
}
