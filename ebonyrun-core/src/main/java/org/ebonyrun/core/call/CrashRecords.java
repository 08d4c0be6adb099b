package org.ebonyrun.core.call;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ebonyrun.base.time.Nanos;
import org.jspecify.annotations.Nullable;

/**
 * The calls during which connections to endpoints broke, at this entry or at others, and whether
 * they may be sent again.
 *
 * <p>Answers the load of a caller that repeats a call under which every endpoint crashes: without a
 * memory that all entries share, each repeat costs as many endpoints as its route allows. A broken
 * connection does not prove a crash, since the network breaks connections too, many at a time. So a
 * call is blocked only after three endpoints; an endpoint that answers later, in the same life,
 * counts no more; a blocked call is tried again after a pause, by one entry at a time; and a
 * response to it ends its record.
 *
 * <p>Invariants: a blocked call stays blocked until its record has fewer endpoints or is removed,
 * except for trials; at most {@value #MAX_RECORDS} calls are known, the latest ones and those that
 * crashed several endpoints first.
 *
 * <p>Not thread safe; confined to one event loop.
 */
public final class CrashRecords {
    /** How long a record is kept after the last crash, in milliseconds. */
    public static final long RETENTION_MILLIS = 3_600_000;

    static final int MAX_RECORDS = 4_096;
    static final long TRIAL_MILLIS = 15_000;
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;
    private static final long MIN_NEWS_MILLIS = 1_000;

    /**
     * The age of a suspicion from which on an answer clears it. An entry that is in touch with the
     * store knows by then if the endpoint has started again.
     */
    static final long MIN_CLEARING_NANOS = Nanos.ofMillis(3_000);

    private final Map<CallFingerprint, CrashRecord> mRecords = new LinkedHashMap<>();
    // When each endpoint in the records was last found to have crashed; may have more of them.
    private final Map<String, Long> mSuspectedAt = new HashMap<>();

    /** Returns whether no call is known, so that fingerprints need not be computed. */
    public boolean isEmpty() {
        return mRecords.isEmpty();
    }

    /** Returns the record of a call; null if there is none. */
    public @Nullable CrashRecord get(CallFingerprint call) {
        return mRecords.get(call);
    }

    /** Returns whether a call may not be sent again, except for a trial. */
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

    /** Returns when a caller of a blocked call may come back, in milliseconds. */
    public long retryAfterMillis(CallFingerprint call, long nowMillis) {
        CrashRecord record = mRecords.get(call);
        long wait = record == null ? 0 : record.nextTrialMillis() - nowMillis;
        return Math.max(MIN_RETRY_AFTER_MILLIS, wait);
    }

    /**
     * Returns the record with which this entry may claim a trial of a blocked call; empty if none
     * is due. The trial begins once the store has the record.
     */
    public Optional<CrashRecord> startTrial(CallFingerprint call, long nowMillis) {
        return Optional.ofNullable(mRecords.get(call))
                .filter(record -> record.isBlocked() && nowMillis >= record.nextTrialMillis())
                .map(record -> record.withTrialUntil(nowMillis + TRIAL_MILLIS));
    }

    /**
     * Handles a connection that broke while an endpoint ran a call.
     *
     * @param endpoint the life of the endpoint
     * @return the record to share with the other entries; empty if they learn nothing from it
     */
    public Optional<CrashRecord> onCrash(
            CallFingerprint call, String endpoint, long nowMillis, long now) {
        mSuspectedAt.put(endpoint, now);
        CrashRecord added = new CrashRecord(Set.of(endpoint), nowMillis);
        CrashRecord known = mRecords.get(call);
        CrashRecord merged = known == null ? added : known.merge(added);
        boolean tellsMore =
                known == null
                        || !known.endpoints().equals(merged.endpoints())
                        || merged.atMillis() - known.atMillis() > MIN_NEWS_MILLIS;
        if (!tellsMore) {
            return Optional.empty();
        }
        put(call, merged, now);
        return Optional.of(merged);
    }

    /** Adds to a record what an entry has shared. */
    public void onShared(CallFingerprint call, CrashRecord record, long now) {
        CrashRecord known = mRecords.get(call);
        put(call, known == null ? record : known.merge(record), now);
    }

    /** Replaces a record by the shared one, which has all that this entry observed. */
    public void onReplaced(CallFingerprint call, CrashRecord record, long now) {
        put(call, record, now);
    }

    private void put(CallFingerprint call, CrashRecord record, long now) {
        CrashRecord known = mRecords.remove(call);
        mRecords.put(call, record);
        if (known == null || record.atMillis() > known.atMillis()) {
            record.endpoints().forEach(endpoint -> mSuspectedAt.put(endpoint, now));
        }
        if (mRecords.size() > MAX_RECORDS) {
            mRecords.remove(leastImportant());
        }
        if (mSuspectedAt.size() > 2 * MAX_RECORDS) {
            mSuspectedAt.keySet().removeIf(endpoint -> callsOf(endpoint).isEmpty());
        }
    }

    private List<CallFingerprint> callsOf(String endpoint) {
        List<CallFingerprint> calls = new ArrayList<>();
        mRecords.forEach(
                (call, record) -> {
                    if (record.endpoints().contains(endpoint)) {
                        calls.add(call);
                    }
                });
        return calls;
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
     * Handles a response of an endpoint to any request.
     *
     * @param endpoint the life of the endpoint, as far as this entry knows
     * @param sentAt when the request was sent
     * @return the calls that have not crashed the endpoint after all; their records have changed,
     *     or are gone
     */
    public List<CallFingerprint> onAlive(String endpoint, long sentAt) {
        Long suspectedAt = mSuspectedAt.get(endpoint);
        if (suspectedAt == null || sentAt - suspectedAt < MIN_CLEARING_NANOS) {
            return List.of();
        }
        mSuspectedAt.remove(endpoint);
        List<CallFingerprint> calls = callsOf(endpoint);
        for (CallFingerprint call : calls) {
            CrashRecord rest = mRecords.get(call).without(endpoint);
            if (rest.endpoints().isEmpty()) {
                mRecords.remove(call);
            } else {
                mRecords.put(call, rest);
            }
        }
        return calls;
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
