package org.ebonyrun.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.jspecify.annotations.Nullable;

/**
 * The endpoints of all services, as described by their records in the shared store.
 *
 * <p>The fleet distinguishes a lost endpoint from an outage of the store: if a record disappears
 * while the store is available, the endpoint is removed at once; if a record may have expired
 * during an outage, its endpoint stays until it has had time to write the record again. An outage
 * in which no record can have expired changes nothing.
 *
 * <p>Invariants: the fleet holds at most one incarnation of an endpoint, the newest that was seen;
 * a record of an older incarnation changes nothing; an incarnation that has announced that it is
 * leaving never serves again; a limit holds until its incarnation ends it, also if the record is
 * removed and written again.
 *
 * <p>Not thread safe; confined to the event loop that owns it.
 */
public final class Fleet {
    /** Grace period after an outage, in which endpoints can write their expired records again. */
    public static final long EXPIRED_GRACE_NANOS = Nanos.ofMillis(2_000);

    private static final int MAX_REMOVED_LIMITED = 1_024;

    private final Map<String, Endpoint> mEndpoints = new HashMap<>();
    private final Map<String, Long> mExpired = new HashMap<>();
    private final LeavingIncarnations mLeaving = new LeavingIncarnations();
    // Endpoints without a record whose limits hold if the record is written again.
    private final Map<String, Endpoint> mRemovedLimited = new LinkedHashMap<>();
    private boolean mStoreUnavailable;
    // When the last outage ended in which records may have expired.
    private long mRecordsExpiredAt;
    private boolean mRecordsExpired;

    private Fleet() {}

    /** Creates a fleet without endpoints. */
    public static Fleet create() {
        return new Fleet();
    }

    /** Applies a record. Returns whether it is the first one of a new incarnation. */
    public boolean onRecord(EndpointRecord record) {
        Endpoint known = mEndpoints.get(record.id());
        if (known != null && record.incarnation() < known.record().incarnation()) {
            return false;
        }
        mExpired.remove(record.id());
        if (known == null || record.incarnation() > known.record().incarnation()) {
            if (known != null) {
                known.setRemoved(true);
            }
            Endpoint limited = mRemovedLimited.remove(record.id());
            if (limited != null && limited.record().incarnation() == record.incarnation()) {
                mEndpoints.put(record.id(), limited);
                limited.setRemoved(false);
                limited.update(record);
                return true;
            }
            Endpoint endpoint = new Endpoint(record);
            if (mLeaving.contains(record.id(), record.incarnation())) {
                endpoint.setLeaving();
            }
            mEndpoints.put(record.id(), endpoint);
            return true;
        }
        known.setRemoved(false);
        known.update(record);
        return false;
    }

    /**
     * Handles an endpoint's announcement that it is leaving.
     *
     * @param record the record of the incarnation that announced it
     * @return whether this was its first announcement
     */
    public boolean onLeaving(EndpointRecord record) {
        Endpoint known = mEndpoints.get(record.id());
        if (known != null && known.record().incarnation() == record.incarnation()) {
            known.setLeaving();
        }
        return mLeaving.add(record.id(), record.incarnation());
    }

    /**
     * Handles what a response says about the limit of the endpoint that sent it.
     *
     * @param record the record of the incarnation that sent the response
     * @param sentAt when the request of that response was sent
     * @return the endpoint if its limit changed; empty otherwise
     */
    public Optional<Endpoint> onLimitNotice(
            EndpointRecord record, LimitNotice notice, long sentAt, long now) {
        Endpoint known = mEndpoints.get(record.id());
        boolean changed =
                known != null
                        && known.record().incarnation() == record.incarnation()
                        && known.onLimitNotice(notice, sentAt, now);
        return changed ? Optional.of(known) : Optional.empty();
    }

    /** Handles the removal of an endpoint's record. */
    public void onRemoved(String id, long now) {
        if (!mEndpoints.containsKey(id)) {
            return;
        }
        if (mStoreUnavailable || isWithinGrace(now)) {
            mExpired.put(id, now);
        } else {
            removeEndpoint(id);
        }
    }

    /** Applies a snapshot of all records. A record that is missing from it was removed. */
    public void onSnapshot(Collection<EndpointRecord> records, long now) {
        Set<String> present = new HashSet<>();
        for (EndpointRecord record : records) {
            present.add(record.id());
            onRecord(record);
        }
        for (String id : List.copyOf(mEndpoints.keySet())) {
            if (!present.contains(id) && !mExpired.containsKey(id)) {
                onRemoved(id, now);
            }
        }
    }

    private boolean isWithinGrace(long now) {
        return mRecordsExpired && now - mRecordsExpiredAt < EXPIRED_GRACE_NANOS;
    }

    /** Handles the start of a store outage. */
    public void onStoreUnavailable() {
        mStoreUnavailable = true;
    }

    /**
     * Handles the end of a store outage.
     *
     * @param mayHaveExpired whether records may have expired in it
     */
    public void onStoreAvailable(boolean mayHaveExpired, long now) {
        if (mStoreUnavailable && mayHaveExpired) {
            mRecordsExpired = true;
            mRecordsExpiredAt = now;
        }
        mStoreUnavailable = false;
    }

    /** Removes the endpoints whose expired records did not reappear within the grace period. */
    public void onTick(long now) {
        if (mStoreUnavailable || mExpired.isEmpty() || isWithinGrace(now)) {
            return;
        }
        List.copyOf(mExpired.keySet()).forEach(this::removeEndpoint);
        mExpired.clear();
    }

    private void removeEndpoint(String id) {
        Endpoint endpoint = mEndpoints.remove(id);
        if (endpoint == null) {
            return;
        }
        endpoint.setRemoved(true);
        if (endpoint.isLimited()) {
            mRemovedLimited.put(id, endpoint);
            if (mRemovedLimited.size() > MAX_REMOVED_LIMITED) {
                mRemovedLimited.remove(mRemovedLimited.keySet().iterator().next());
            }
        }
    }

    /** Returns the endpoint with an ID, or null if there is none. */
    public @Nullable Endpoint get(String id) {
        return mEndpoints.get(id);
    }

    /** Returns the endpoints of a service that accept new work, ordered by ID. */
    public List<Endpoint> serving(ServiceName service) {
        List<Endpoint> serving = new ArrayList<>();
        for (Endpoint endpoint : mEndpoints.values()) {
            if (endpoint.record().service().equals(service) && endpoint.isServing()) {
                serving.add(endpoint);
            }
        }
        serving.sort((a, b) -> a.id().compareTo(b.id()));
        return serving;
    }

    /** Returns all endpoints. */
    public Collection<Endpoint> all() {
        return mEndpoints.values();
    }
}
