package org.ebonyrun.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.jspecify.annotations.Nullable;

/**
 * The endpoints of all services.
 *
 * <p>Tells "the store is away" from "the endpoint is gone": a record that disappears while the
 * store works ends the endpoint at once; one that lapsed while the store was away is kept until the
 * endpoint has had time to come back.
 *
 * <p>Invariants: an endpoint has at most one incarnation here, the newest that was seen; a record
 * of an older incarnation changes nothing.
 *
 * <p>Not thread safe; confined to the duty that owns it.
 */
public final class Fleet {
    /** How long after the store's return a lapsed record may take to come back. */
    public static final long EXPIRED_GRACE_NANOS = Nanos.ofMillis(2_000);

    private final Map<String, Endpoint> mEndpoints = new HashMap<>();
    private final Map<String, Long> mLapsed = new HashMap<>();
    private boolean mStoreAway;
    private long mStoreBackAt;
    private boolean mStoreWasAway;

    private Fleet() {}

    /** Creates a fleet without endpoints. */
    public static Fleet create() {
        return new Fleet();
    }

    /** Takes a record in. Returns whether it began a new incarnation. */
    public boolean onRecord(EndpointRecord record) {
        mLapsed.remove(record.id());
        Endpoint known = mEndpoints.get(record.id());
        if (known != null && record.incarnation() < known.record().incarnation()) {
            return false;
        }
        if (known == null || record.incarnation() > known.record().incarnation()) {
            if (known != null) {
                known.setRemoved(true);
            }
            mEndpoints.put(record.id(), new Endpoint(record));
            return true;
        }
        known.setRemoved(false);
        known.update(record);
        return false;
    }

    /** Notes that the record of an endpoint was removed. */
    public void onRemoved(String id, long now) {
        if (!mEndpoints.containsKey(id)) {
            return;
        }
        boolean returning = mStoreWasAway && now - mStoreBackAt < EXPIRED_GRACE_NANOS;
        if (mStoreAway || returning) {
            mLapsed.put(id, now);
        } else {
            drop(id);
        }
    }

    /** Takes the whole list in: records that are not on it were removed. */
    public void onSnapshot(Collection<EndpointRecord> records, long now) {
        Set<String> present = new HashSet<>();
        for (EndpointRecord record : records) {
            present.add(record.id());
            onRecord(record);
        }
        for (String id : List.copyOf(mEndpoints.keySet())) {
            if (!present.contains(id) && !mLapsed.containsKey(id)) {
                onRemoved(id, now);
            }
        }
    }

    /** Notes that the store does not answer. */
    public void onStoreUnavailable() {
        mStoreAway = true;
        mStoreWasAway = true;
    }

    /** Notes that the store answers again. */
    public void onStoreAvailable(long now) {
        if (mStoreAway) {
            mStoreAway = false;
            mStoreBackAt = now;
        }
    }

    /** Ends endpoints that lapsed and did not come back in time. */
    public void onTick(long now) {
        if (mStoreAway || mLapsed.isEmpty() || now - mStoreBackAt < EXPIRED_GRACE_NANOS) {
            return;
        }
        List.copyOf(mLapsed.keySet()).forEach(this::drop);
        mLapsed.clear();
    }

    private void drop(String id) {
        Endpoint endpoint = mEndpoints.remove(id);
        if (endpoint != null) {
            endpoint.setRemoved(true);
        }
    }

    /** Returns the endpoint with an id, or null. */
    public @Nullable Endpoint get(String id) {
        return mEndpoints.get(id);
    }

    /** Returns the endpoints of a service that may be given new work. */
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
