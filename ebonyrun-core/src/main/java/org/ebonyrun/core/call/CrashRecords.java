package org.ebonyrun.core.call;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The calls during which connections to endpoints broke, at this entry or at others, and whether
 * they may be sent again.
 *
 * <p>Answers the load of a caller that repeats a call under which every endpoint crashes: without a
 * memory that all entries share, each repeat costs as many endpoints as its route allows. A broken
 * connection does not prove a crash, so a call is blocked only after three endpoints, and a
 * response to it ends its record.
 *
 * <p>Invariants: a blocked call stays blocked until it has not come for {@link #RETENTION_MILLIS},
 * or its record is removed; at most {@value #MAX_RECORDS} calls are known, the latest ones and
 * those that crashed several endpoints first.
 *
 * <p>Not thread safe; confined to one event loop.
 */
public final class CrashRecords {
    /** How long a record is kept after the call was last seen, in milliseconds. */
    public static final long RETENTION_MILLIS = 3_600_000;

    static final int MAX_RECORDS = 4_096;

    private final Map<CallFingerprint, CrashRecord> mRecords = new LinkedHashMap<>();

    /** Returns whether no call is known, so that fingerprints need not be computed. */
    public boolean isEmpty() {
        return mRecords.isEmpty();
    }

    /** Returns the record of a call; null if there is none. */
    public @Nullable CrashRecord get(CallFingerprint call) {
        return mRecords.get(call);
    }

    /** Returns whether a call may not be sent again. */
    public boolean isBlocked(CallFingerprint call) {
        CrashRecord record = mRecords.get(call);
        return record != null && record.isBlocked();
    }

    /** Returns whether a call that one endpoint may have run may be sent to another one. */
    public boolean mayRetry(CallFingerprint call) {
        CrashRecord record = mRecords.get(call);
        return record == null || !record.isSuspect();
    }

    /** Returns whether a call has broken a connection to any endpoint. */
    public boolean contains(CallFingerprint call) {
        return mRecords.containsKey(call);
    }

    /**
     * Handles a connection that broke while an endpoint ran a call.
     *
     * @return the record to share with the other entries; empty if they learn nothing from it
     */
    public Optional<CrashRecord> onCrash(CallFingerprint call, String endpoint, long nowMillis) {
        return update(call, new CrashRecord(Set.of(endpoint), nowMillis));
    }

    /**
     * Handles the arrival of a call.
     *
     * @return the record to share with the other entries, so that a call that keeps coming stays
     *     blocked; empty if there is nothing to share
     */
    public Optional<CrashRecord> onArrival(CallFingerprint call, long nowMillis) {
        CrashRecord record = mRecords.get(call);
        boolean isOld = record != null && nowMillis - record.atMillis() > RETENTION_MILLIS / 4;
        return isOld
                ? update(call, new CrashRecord(record.endpoints(), nowMillis))
                : Optional.empty();
    }

    private Optional<CrashRecord> update(CallFingerprint call, CrashRecord added) {
        CrashRecord known = mRecords.get(call);
        CrashRecord merged = known == null ? added : known.merge(added);
        boolean tellsMore =
                known == null
                        || !known.endpoints().equals(merged.endpoints())
                        || merged.atMillis() - known.atMillis() > RETENTION_MILLIS / 4;
        if (!tellsMore) {
            return Optional.empty();
        }
        put(call, merged);
        return Optional.of(merged);
    }

    /** Handles a record that an entry has shared. */
    public void onShared(CallFingerprint call, CrashRecord record) {
        CrashRecord known = mRecords.get(call);
        put(call, known == null ? record : known.merge(record));
    }

    private void put(CallFingerprint call, CrashRecord record) {
        mRecords.remove(call);
        mRecords.put(call, record);
        if (mRecords.size() > MAX_RECORDS) {
            mRecords.remove(leastImportant());
        }
    }

    /** Returns the oldest call that crashed a single endpoint; the oldest of all if none did. */
    private CallFingerprint leastImportant() {
        for (Map.Entry<CallFingerprint, CrashRecord> entry : mRecords.entrySet()) {
            if (entry.getValue().endpoints().size() == 1) {
                return entry.getKey();
            }
        }
        return mRecords.keySet().iterator().next();
    }

    /** Forgets all calls but the given ones. */
    public void retainAll(Set<CallFingerprint> calls) {
        mRecords.keySet().retainAll(calls);
    }

    /** Handles the removal of a record by any entry. */
    public void onRemoved(CallFingerprint call) {
        mRecords.remove(call);
    }

    /**
     * Handles a response of an endpoint to a call, which therefore does not crash endpoints.
     *
     * @return whether the call had a record, which has to be removed at all entries
     */
    public boolean onAnswered(CallFingerprint call) {
        return mRecords.remove(call) != null;
    }
}
