package org.ebonyrun.core.duty;

import java.util.HashMap;
import java.util.Map;
import org.ebonyrun.core.usage.UsageLedgerState;
import org.jspecify.annotations.Nullable;

/**
 * The state of the shared store of a {@link DutySimulation}: leases, the key of the role, and the
 * reports of usage that holders have fixed.
 */
final class VirtualRoleStore {
    static final long TTL_MILLIS = 2_500;

    /** The key of the role. */
    record RoleEntry(int vm, int process, long revision, long lease) {}

    private final Map<Long, Long> mLeases = new HashMap<>();
    private long mRevision = 10;
    private long mLeaseCount;
    private @Nullable RoleEntry mRole;
    private @Nullable UsageLedgerState mStored;
    private long mStoredRevision;
    private boolean mDown;
    private long mDownSince;

    boolean isDown() {
        return mDown;
    }

    @Nullable RoleEntry role() {
        return mRole;
    }

    @Nullable UsageLedgerState stored() {
        return mStored;
    }

    long storedRevision() {
        return mStoredRevision;
    }

    void beginOutage(long nowMillis) {
        mDown = true;
        mDownSince = nowMillis;
    }

    /** Ends an outage, during which leases paused or went on to run. */
    void endOutage(boolean paused, long nowMillis) {
        mDown = false;
        if (paused) {
            mLeases.replaceAll((id, end) -> end + nowMillis - mDownSince);
        }
    }

    /** Ends the lease of the holder, as a store that lapses does. */
    void endLeaseOfHolder() {
        if (mRole != null) {
            mLeases.remove(mRole.lease());
        }
    }

    void expireLeases(long nowMillis) {
        if (mDown) {
            return;
        }
        mLeases.values().removeIf(end -> end <= nowMillis);
        if (mRole != null && !mLeases.containsKey(mRole.lease())) {
            mRole = null;
            mRevision++;
        }
    }

    long grant(long nowMillis) {
        mLeases.put(++mLeaseCount, nowMillis + TTL_MILLIS);
        return mLeaseCount;
    }

    /** Renews a lease; returns whether it existed. */
    boolean renew(long lease, long nowMillis) {
        return mLeases.computeIfPresent(lease, (id, end) -> nowMillis + TTL_MILLIS) != null;
    }

    /** Claims the role; returns the revision, or zero if another process has it. */
    long claim(long expected, int vm, int process, long lease) {
        long current = mRole == null ? 0 : mRole.revision();
        if (current == expected && mLeases.containsKey(lease)) {
            mRole = new RoleEntry(vm, process, ++mRevision, lease);
            return mRevision;
        }
        return mRole != null && mRole.process() == process ? mRole.revision() : 0;
    }

    void removeRole(long fence) {
        if (mRole != null && mRole.revision() == fence) {
            mRole = null;
            mRevision++;
        }
    }

    /** Stores reports under a fence; returns the revision, or zero if an expectation fails. */
    long fix(long fence, long expected, UsageLedgerState state) {
        if (mRole == null || mRole.revision() != fence || mStoredRevision != expected) {
            return 0;
        }
        mStored = state;
        mStoredRevision = ++mRevision;
        return mRevision;
    }
}
