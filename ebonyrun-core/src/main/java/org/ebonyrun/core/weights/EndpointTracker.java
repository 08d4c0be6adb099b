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
 * Which endpoints of one service have which version, which of them load one, and from where.
 *
 * <p>Everything that a decision needs is kept up to date as reports come in, so that a decision
 * costs the same however many endpoints there are.
 *
 * <p>Not thread safe; confined to the weight duty.
 */
final class EndpointTracker {
    /** The weight store as a source. */
    static final String STORE = "";

    private final Map<VmId, Replica> mReplicas = new TreeMap<>();
    private final TreeSet<Replica> mBehind =
            new TreeSet<>(
                    Comparator.comparingLong((Replica replica) -> replica.mVersion)
                            .thenComparing(replica -> replica.mVm));
    private final TreeSet<Replica> mDelayed =
            new TreeSet<>(
                    Comparator.comparingLong((Replica replica) -> replica.mNotBefore)
                            .thenComparing(replica -> replica.mVm));
    private final Set<VmId> mSpareHolders = new LinkedHashSet<>();
    private final Map<String, Integer> mCopies = new HashMap<>();
    private final Map<VmId, Replica> mLoading = new TreeMap<>();
    private long mLatest;
    private long mFailures;

    /** One endpoint. Its place in the sets is changed only between {@code detach} and attach. */
    private static final class Replica {
        private final VmId mVm;
        private long mVersion;
        private long mOrdered;
        private String mSource = STORE;
        private long mOrderedUntil;
        private long mNotBefore;

        Replica(VmId vm) {
            mVm = vm;
        }
    }

    long latestVersion() {
        return mLatest;
    }

    long failureCount() {
        return mFailures;
    }

    int endpointCount() {
        return mReplicas.size();
    }

    int loadingCount() {
        return mLoading.size();
    }

    Map<VmId, Long> versions() {
        Map<VmId, Long> versions = new TreeMap<>();
        mReplicas.forEach((vm, replica) -> versions.put(vm, replica.mVersion));
        return versions;
    }

    /** Takes note of a newer version in the store; every endpoint is placed anew. */
    void onLatestVersion(long version) {
        if (version <= mLatest) {
            return;
        }
        mLatest = version;
        mSpareHolders.clear();
        for (Replica replica : mReplicas.values()) {
            detach(replica);
            attach(replica);
        }
    }

    void onVersion(VmId vm, long version) {
        Replica replica = mReplicas.computeIfAbsent(vm, Replica::new);
        boolean done = replica.mOrdered > 0 && version >= replica.mOrdered;
        if (replica.mVersion == version && !done && isAttached(replica)) {
            return;
        }
        detach(replica);
        replica.mVersion = version;
        if (done) {
            endLoad(replica);
        }
        attach(replica);
    }

    void remove(VmId vm) {
        Replica replica = mReplicas.remove(vm);
        if (replica != null) {
            detach(replica);
            endLoad(replica);
            mSpareHolders.remove(vm);
        }
    }

    /** Returns whether the endpoint was ordered to load this version. */
    boolean isLoading(VmId vm, long version) {
        Replica replica = mLoading.get(vm);
        return replica != null && replica.mOrdered == version;
    }

    void onLoaded(VmId vm, long version) {
        Replica replica = mReplicas.get(vm);
        if (replica != null) {
            detach(replica);
            endLoad(replica);
            replica.mVersion = version;
            attach(replica);
        }
    }

    void onFailed(VmId vm, long notBefore) {
        Replica replica = mReplicas.get(vm);
        if (replica != null) {
            mFailures++;
            detach(replica);
            endLoad(replica);
            replica.mNotBefore = notBefore;
            attach(replica);
        }
    }

    void onOrderSent(VmId vm, String source, long until) {
        Replica replica = mReplicas.get(vm);
        if (replica != null) {
            detach(replica);
            replica.mOrdered = mLatest;
            replica.mSource = source;
            replica.mOrderedUntil = until;
            mLoading.put(vm, replica);
            mCopies.merge(source, 1, Integer::sum);
            updateSpare(source);
        }
    }

    /** Gives orders up whose answer has not come, and lets delayed endpoints be ordered again. */
    void processTimeouts(long now) {
        for (Replica replica : List.copyOf(mLoading.values())) {
            if (now - replica.mOrderedUntil >= 0) {
                onFailed(replica.mVm, now);
            }
        }
        List<Replica> due = new ArrayList<>();
        for (Replica replica : mDelayed) {
            if (now - replica.mNotBefore < 0) {
                break;
            }
            due.add(replica);
        }
        for (Replica replica : due) {
            mDelayed.remove(replica);
            replica.mNotBefore = 0;
            attach(replica);
        }
    }

    /** Returns the endpoint with the oldest version that may be ordered, or null. */
    @Nullable VmId nextOutdated() {
        return mBehind.isEmpty() ? null : mBehind.first().mVm;
    }

    /** Returns a VM to copy from, the store, or null while every source is busy. */
    @Nullable String chooseSource() {
        if (!mSpareHolders.isEmpty()) {
            return mSpareHolders.iterator().next().value();
        }
        boolean storeFree = mCopies.getOrDefault(STORE, 0) < WeightPlanner.MAX_STORE_FETCHES;
        return storeFree ? STORE : null;
    }

    private boolean isAttached(Replica replica) {
        return replica.mVersion >= mLatest
                || replica.mOrdered > 0
                || mBehind.contains(replica)
                || mDelayed.contains(replica);
    }

    private void detach(Replica replica) {
        mBehind.remove(replica);
        mDelayed.remove(replica);
    }

    private void attach(Replica replica) {
        if (replica.mVersion >= mLatest) {
            updateSpare(replica.mVm.value());
        } else if (replica.mOrdered == 0 && replica.mNotBefore > 0) {
            mDelayed.add(replica);
        } else if (replica.mOrdered == 0) {
            mBehind.add(replica);
        }
    }

    private void endLoad(Replica replica) {
        if (replica.mOrdered == 0) {
            return;
        }
        replica.mOrdered = 0;
        mLoading.remove(replica.mVm);
        mCopies.merge(replica.mSource, -1, Integer::sum);
        updateSpare(replica.mSource);
    }

    private void updateSpare(String source) {
        if (source.equals(STORE)) {
            return;
        }
        VmId vm = VmId.of(source);
        Replica holder = mReplicas.get(vm);
        boolean spare =
                holder != null
                        && holder.mVersion >= mLatest
                        && mCopies.getOrDefault(source, 0) < WeightPlanner.MAX_COPIES_PER_SOURCE;
        if (spare) {
            mSpareHolders.add(vm);
        } else {
            mSpareHolders.remove(vm);
        }
    }
}
