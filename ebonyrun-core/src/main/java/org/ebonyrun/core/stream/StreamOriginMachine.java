package org.ebonyrun.core.stream;

import java.util.Set;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.EndpointRecord;
import org.ebonyrun.core.fleet.Fleet;
import org.jspecify.annotations.Nullable;

/**
 * Finds out which software version began a stream that a caller resumes, at whichever entry.
 *
 * <p>Designed for many thousands of streams a second over hundreds of entries, of which few break,
 * and for services that almost always run one version. A version is announced once in the shared
 * store before any stream begins at it. As long as one version is announced, it has begun every
 * stream, and nothing is written for a stream. While several are, each entry writes which of its
 * streams began at which version, all of them together and at a bounded rate; a resumed stream is
 * looked up there.
 *
 * <p>Invariant: an origin is named only if it began the stream. A stream whose record was not
 * written, since its entry was killed or cut off, is unknown and never guessed. This holds for
 * entries that are cut off from the store for less than {@link #RETENTION_NANOS}, after which the
 * announcement of a version without endpoints is removed.
 *
 * <p>Not thread safe; confined to one event loop.
 */
public final class StreamOriginMachine {
    private static final int MAX_STREAMS = 16_384;
    private static final long MAX_RECORD_NANOS = Nanos.ofMillis(600_000);

    /**
     * How long a version stays announced after an entry has marked it as absent: until no caller
     * comes again for a stream which an entry began before it read the mark.
     */
    public static final long RETENTION_NANOS = MAX_RECORD_NANOS + SoftwareTables.REFRESH_NANOS;

    private static final long SWEEP_NANOS = Nanos.ofMillis(1_000);

    private final StreamOriginOutputs mOutputs;
    private final StreamRecords mRecords = new StreamRecords(MAX_STREAMS);
    private final SoftwareTables mTables;
    private final OriginLookups mLookups;
    private final RecordWriter mWriter;
    private long mSplitUntil = Long.MIN_VALUE;
    private long mNextSweepAt = Long.MIN_VALUE;

    private StreamOriginMachine(
            Fleet fleet, double storeWritesPerSecond, StreamOriginOutputs outputs) {
        mOutputs = outputs;
        mTables = new SoftwareTables(fleet, outputs);
        mLookups = new OriginLookups(mTables, outputs);
        mWriter = new RecordWriter(mRecords, storeWritesPerSecond, outputs);
    }

    /**
     * Creates a machine that knows no stream.
     *
     * @param storeWritesPerSecond how many writes the store takes from all entries together
     */
    public static StreamOriginMachine create(
            Fleet fleet, double storeWritesPerSecond, StreamOriginOutputs outputs) {
        return new StreamOriginMachine(fleet, storeWritesPerSecond, outputs);
    }

    /** Returns the number of streams whose origin this process remembers. */
    public int streamCount() {
        return mRecords.size();
    }

    /** Returns whether records of streams are written. */
    public boolean isRecording() {
        return mWriter.isEnabled();
    }

    /** Returns whether a stream may begin at an endpoint. */
    public StreamAdmission admit(EndpointRecord endpoint, long now) {
        return mTables.admit(endpoint, now);
    }

    /**
     * Handles the first event of a stream, or of a resumed part of it.
     *
     * @param services the services that the route names
     * @param expiresAt when the caller stops waiting
     */
    public void onBegun(
            StreamId stream,
            StreamOrigin origin,
            Set<ServiceName> services,
            long expiresAt,
            long now) {
        mRecords.add(stream, origin, Math.min(expiresAt, now + MAX_RECORD_NANOS));
        if (services.size() > 1) {
            mSplitUntil = now + MAX_RECORD_NANOS;
        }
        updateWriter(now);
        mWriter.writeIfDue(now);
    }

    /**
     * Handles the end of a stream that its caller may resume: its record is written at once. If no
     * records are written, another entry may have announced a version that this one doesn't know
     * yet, so that the caller's next entry looks for a record.
     */
    public void onBroken(ServiceName service, long now) {
        if (!mWriter.isEnabled()) {
            mTables.refresh(service, now);
        }
        mWriter.onBroken(now);
    }

    private void updateWriter(long now) {
        mWriter.setEnabled(now < mSplitUntil || mTables.isAnyAmbiguous(), now);
    }

    /**
     * Finds out what began a stream; ends with {@link StreamOriginOutputs#onResolved}, at the
     * latest after the store's time limit and some hundred milliseconds.
     *
     * @param lookup the number of the lookup
     * @param stream the stream; null if the caller does not name its first request, so that its
     *     origin is known only while there is a single one
     * @param services the services that the route names
     */
    public void resolve(long lookup, @Nullable StreamId stream, Set<ServiceName> services) {
        StreamOrigin known = stream == null ? null : mRecords.get(stream);
        if (known != null) {
            mOutputs.onResolved(lookup, known, "carried here");
        } else if (!mOutputs.isStoreAvailable()) {
            mOutputs.onResolved(lookup, null, "the shared store is unavailable");
        } else {
            mLookups.start(lookup, stream, services);
        }
    }

    /** Ends a lookup whose caller has left. */
    public void onAbandoned(long lookup) {
        mLookups.remove(lookup);
    }

    /** Handles what the store has of a service. */
    public void onTable(ServiceName service, SoftwareVersions versions, long revision, long now) {
        mTables.onTable(service, versions, revision, now);
        updateWriter(now);
    }

    /** Handles a read or write of a service's versions whose outcome is unknown. */
    public void onTableFailed(ServiceName service, long now) {
        mTables.onTableFailed(service, now);
    }

    /** Handles the versions that were read for a lookup. */
    public void onLookupTable(
            long lookup, ServiceName service, SoftwareVersions versions, long revision, long now) {
        mTables.onRead(service, versions, revision, now);
        updateWriter(now);
        mLookups.onTable(lookup, service, versions.announced(), now);
    }

    /**
     * Handles the records that were read for a lookup.
     *
     * @param origins the origins that entries have recorded for the stream
     */
    public void onRecords(long lookup, Set<StreamOrigin> origins, long now) {
        mLookups.onRecords(lookup, origins, now);
    }

    /** Handles the number of entries that write records. */
    public void onEntries(int entries) {
        mWriter.setEntries(entries);
    }

    /** Handles a read for a lookup that failed. */
    public void onLookupFailed(long lookup, String reason, long now) {
        mLookups.onMissing(lookup, reason, now);
    }

    /** Handles the end of a write of records. */
    public void onRecordsWritten(long now) {
        mWriter.onWritten(now);
    }

    /** Handles a write of records that failed, or whose outcome is unknown. */
    public void onRecordsFailed(long now) {
        mWriter.onFailed(now);
    }

    /** Handles the loss of all records that were written, for example with their lease. */
    public void onRecordsLost() {
        mWriter.onLost();
    }

    /** Writes records, repeats reads and removes what has expired. */
    public void onTick(long now) {
        mLookups.onTick(now);
        mWriter.writeIfDue(now);
        if (now >= mNextSweepAt) {
            mNextSweepAt = now + SWEEP_NANOS;
            mRecords.removeExpired(now);
            mTables.onTick(now);
            updateWriter(now);
            mWriter.countIfDue(now);
        }
    }
}
