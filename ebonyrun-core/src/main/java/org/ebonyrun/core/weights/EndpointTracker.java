package org.ebonyrun.core.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.ebonyrun.base.id.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Tracks, for the endpoints of one service, the weight version of each, the loads that were
 * ordered, and the sources that the loads copy from.
 *
 * <p>The sets that a decision needs are updated with each report, so that the cost of a decision
 * does not grow with the number of endpoints.
 *
 * <p>Not thread safe; confined to the planner's event loop.
 */
final class EndpointTracker {
    /** The source value of the weight store; any other source is the ID of a VM. */
    static final String STORE = "";

    private final Map<VmId, TrackedEndpoint> mEndpoints = new TreeMap<>();
    // Endpoints with an old version that can be ordered to load the latest one, oldest first.
    private final TreeSet<TrackedEndpoint> mOutdated =
            new TreeSet<>(
                    Comparator.comparingLong((TrackedEndpoint endpoint) -> endpoint.mVersion)
                            .thenComparing(endpoint -> endpoint.mVm));
    // Endpoints that can be ordered again only after their backoff, earliest first.
    private final TreeSet<TrackedEndpoint> mInBackoff =
            new TreeSet<>(
                    Comparator.comparingLong((TrackedEndpoint endpoint) -> endpoint.mBackoffUntil)
                            .thenComparing(endpoint -> endpoint.mVm));
    // VMs that have the latest version and may serve another copy of it.
    private final Set<VmId> mAvailableSources = new LinkedHashSet<>();
    // The number of loads in progress from each source.
    private final Map<String, Integer> mLoadsBySource = new HashMap<>();
    private final Map<VmId, TrackedEndpoint> mLoading = new TreeMap<>();
    private long mLatestVersion;
    private long mFailureCount;

    /**
     * The state of one endpoint. The fields that the sets are ordered by change only between {@code
     * detach}, which removes it from the sets, and {@code attach}, which adds it again.
     */
    private static final class TrackedEndpoint {
        private final VmId mVm;
        private long mVersion;
        // The version that the endpoint was ordered to load; zero if none.
        private long mOrderedVersion;
        private String mSource = STORE;
        private long mOrderDeadline;
        // The end of the backoff; zero if none.
        private long mBackoffUntil;

        TrackedEndpoint(VmId vm) {
            mVm = vm;
        }
    }

    long latestVersion() {
        return mLatestVersion;
    }

    long failureCount() {
        return mFailureCount;
    }

    int endpointCount() {
        return mEndpoints.size();
    }

    int loadingCount() {
        return mLoading.size();
    }

    Map<VmId, Long> versions() {
        Map<VmId, Long> versions = new TreeMap<>();
        mEndpoints.forEach((vm, endpoint) -> versions.put(vm, endpoint.mVersion));
        return versions;
    }

    /**
     * Handles the newest version in the store. If it is newer than the previous one, every endpoint
     * is classified again.
     */
    void onLatestVersion(long version) {
        if (version <= mLatestVersion) {
            return;
        }
        mLatestVersion = version;
        mAvailableSources.clear();
        for (TrackedEndpoint endpoint : mEndpoints.values()) {
            detach(endpoint);
            attach(endpoint);
        }
    }

    void onVersion(VmId vm, long version) {
        TrackedEndpoint endpoint = mEndpoints.computeIfAbsent(vm, TrackedEndpoint::new);
        boolean done = endpoint.mOrderedVersion > 0 && version >= endpoint.mOrderedVersion;
        if (endpoint.mVersion == version && !done && isAttached(endpoint)) {
            return;
        }
        detach(endpoint);
        endpoint.mVersion = version;
        if (done) {
            endLoad(endpoint);
        }
        attach(endpoint);
    }

    void remove(VmId vm) {
        TrackedEndpoint endpoint = mEndpoints.remove(vm);
        if (endpoint != null) {
            detach(endpoint);
            endLoad(endpoint);
            mAvailableSources.remove(vm);
        }
    }

    /** Returns whether the endpoint was ordered to load this version. */
    boolean isLoading(VmId vm, long version) {
        TrackedEndpoint endpoint = mLoading.get(vm);
        return endpoint != null && endpoint.mOrderedVersion == version;
    }

    void onLoaded(VmId vm, long version) {
        TrackedEndpoint endpoint = mEndpoints.get(vm);
        if (endpoint != null) {
            detach(endpoint);
            endLoad(endpoint);
            endpoint.mVersion = version;
            attach(endpoint);
        }
    }

    void onFailed(VmId vm, long backoffUntil) {
        TrackedEndpoint endpoint = mEndpoints.get(vm);
        if (endpoint != null) {
            mFailureCount++;
            detach(endpoint);
            endLoad(endpoint);
            endpoint.mBackoffUntil = backoffUntil;
            attach(endpoint);
        }
    }

    void onOrderSent(VmId vm, String source, long deadline) {
        TrackedEndpoint endpoint = mEndpoints.get(vm);
        if (endpoint != null) {
            detach(endpoint);
            endpoint.mOrderedVersion = mLatestVersion;
            endpoint.mSource = source;
            endpoint.mOrderDeadline = deadline;
            mLoading.put(vm, endpoint);
            mLoadsBySource.merge(source, 1, Integer::sum);
            updateAvailability(source);
        }
    }

    /**
     * Fails orders that got no result in time, and makes endpoints whose backoff is over available
     * for orders.
     */
    void processTimeouts(long now) {
        for (TrackedEndpoint endpoint : List.copyOf(mLoading.values())) {
            if (now - endpoint.mOrderDeadline >= 0) {
                onFailed(endpoint.mVm, now);
            }
        }
        List<TrackedEndpoint> due = new ArrayList<>();
        for (TrackedEndpoint endpoint : mInBackoff) {
            if (now - endpoint.mBackoffUntil < 0) {
                break;
            }
            due.add(endpoint);
        }
        for (TrackedEndpoint endpoint : due) {
            mInBackoff.remove(endpoint);
            endpoint.mBackoffUntil = 0;
            attach(endpoint);
        }
    }

    /** Returns the endpoint with the oldest version among those that may be ordered, or null. */
    @Nullable VmId nextOutdated() {
        return mOutdated.isEmpty() ? null : mOutdated.first().mVm;
    }

    /** Returns the source for the next load: a VM or the store, or null if every source is busy. */
    @Nullable String chooseSource() {
        if (!mAvailableSources.isEmpty()) {
            return mAvailableSources.iterator().next().value();
        }
        boolean storeFree = mLoadsBySource.getOrDefault(STORE, 0) < WeightPlanner.MAX_STORE_FETCHES;
        return storeFree ? STORE : null;
    }

    private boolean isAttached(TrackedEndpoint endpoint) {
        return endpoint.mVersion >= mLatestVersion
                || endpoint.mOrderedVersion > 0
                || mOutdated.contains(endpoint)
                || mInBackoff.contains(endpoint);
    }

    private void detach(TrackedEndpoint endpoint) {
        mOutdated.remove(endpoint);
        mInBackoff.remove(endpoint);
    }

    private void attach(TrackedEndpoint endpoint) {
        if (endpoint.mVersion >= mLatestVersion) {
            updateAvailability(endpoint.mVm.value());
        } else if (endpoint.mOrderedVersion == 0 && endpoint.mBackoffUntil > 0) {
            mInBackoff.add(endpoint);
        } else if (endpoint.mOrderedVersion == 0) {
            mOutdated.add(endpoint);
        }
    }

    private void endLoad(TrackedEndpoint endpoint) {
        if (endpoint.mOrderedVersion == 0) {
            return;
        }
        endpoint.mOrderedVersion = 0;
        mLoading.remove(endpoint.mVm);
        mLoadsBySource.merge(endpoint.mSource, -1, Integer::sum);
        updateAvailability(endpoint.mSource);
    }

    private void updateAvailability(String source) {
        if (source.equals(STORE)) {
            return;
        }
        VmId vm = VmId.of(source);
        TrackedEndpoint endpoint = mEndpoints.get(vm);
        boolean available =
                endpoint != null
                        && endpoint.mVersion >= mLatestVersion
                        && mLoadsBySource.getOrDefault(source, 0)
                                < WeightPlanner.MAX_COPIES_PER_SOURCE;
        if (available) {
            mAvailableSources.add(vm);
        } else {
            mAvailableSources.remove(vm);
        }
    }
}
