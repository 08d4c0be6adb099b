package org.ebonyrun.daemon.hosted;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.duty.DutyRole;
import org.ebonyrun.core.duty.DutyRoleOutputs;
import org.ebonyrun.core.duty.DutyRules;
import org.ebonyrun.core.duty.RoleKey;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Claims the role of the holder of the duties when no other entry has it, and performs the duties
 * while this entry has it. The role belongs to the process whose name is in the planner's key,
 * which is attached to the entry's lease; the key's revision is the fence of all duties.
 *
 * <p>Invariant: duties are performed only while the entry's lease is valid.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class DutyHolder implements DutyRoleOutputs {
    private final HostedContext mContext;
    private final SharedStore mSharedStore;
    private final DutyRole mRole;
    private final List<Duty> mDuties = new ArrayList<>();
    private String mLastHolder = "";
    private long mLastFence;

    /**
     * Creates a holder that does not have the role.
     *
     * @param hasPredecessor whether another process may have had the role before
     */
    DutyHolder(
            HostedContext context,
            SharedStore sharedStore,
            DutyRules rules,
            boolean hasPredecessor,
            RandomGenerator random) {
        mContext = context;
        mSharedStore = sharedStore;
        mRole = DutyRole.create(rules, hasPredecessor, random, this);
    }

    /** Adds a duty; duties are performed in the order in which they were added. */
    void add(Duty duty) {
        mDuties.add(duty);
    }

    /** Adds a duty unless it is null. */
    void addIfPresent(@Nullable Duty duty) {
        if (duty != null) {
            add(duty);
        }
    }

    /** Returns whether this entry has the role. */
    boolean holdsRole() {
        return mRole.isHolding();
    }

    /** Returns the fence of this holder, or the last one that it had. */
    long fence() {
        return mRole.fence();
    }

    /** Returns whether a process other than this one has had the role, or may have. */
    boolean hasPredecessor() {
        return mRole.hasPredecessor();
    }

    /** Returns the name of the last other holder that is known; empty if there is none. */
    String lastHolder() {
        return mLastHolder;
    }

    /** Returns the fence of the last other holder that is known; zero if there is none. */
    long lastFence() {
        return mLastFence;
    }

    /**
     * Handles a change of the planner's key that the watch has reported.
     *
     * @param revision the revision of the change
     */
    void onKeyChanged(@Nullable StoreItem holder, long revision) {
        if (holder != null && !isOwn(holder)) {
            mLastHolder = holder.text();
            mLastFence = holder.revision();
        }
        String name = holder == null ? "gone" : holder.text();
        // The process's own key counts as its own here whatever its lease.
        RoleKey key = holder != null && isOwn(holder) ? RoleKey.OWN : roleKey(holder, 0);
        mRole.onKeyChanged(key, revision, name, System.nanoTime());
    }

    private boolean isOwn(StoreItem holder) {
        return holder.text().equals(mContext.self().format());
    }

    private RoleKey roleKey(@Nullable StoreItem holder, long now) {
        if (holder == null) {
            return RoleKey.ABSENT;
        }
        if (isOwn(holder)) {
            EntryLease lease = mContext.lease();
            boolean current = lease.isValid(now) && holder.lease() == lease.id();
            return current ? RoleKey.OWN : RoleKey.OTHER;
        }
        return mContext.self().isSuccessorOf(holder.text())
                ? RoleKey.EARLIER_PROCESS
                : RoleKey.OTHER;
    }

    void onTick(long now) {
        StoreItem holder = mContext.directory().planner();
        long revision = holder == null ? 0 : holder.revision();
        mRole.onTick(roleKey(holder, now), revision, now, System.currentTimeMillis());
        if (!mRole.isHolding()) {
            return;
        }
        EntryLease lease = mContext.lease();
        if (mRole.needsConfirmation(lease.confirmedAt())) {
            lease.confirmSoon(now);
        }
        if (lease.isValid(now)) {
            for (Duty duty : mDuties) {
                // A duty may release the role.
                if (mRole.isHolding()) {
                    duty.onTick(now);
                }
            }
        }
    }

    /** Returns whether a call to the platform under a fence may be sent now. */
    boolean mayCall(long fence, long now) {
        EntryLease lease = mContext.lease();
        return lease.isValid(now)
                && mRole.mayCall(fence, lease.confirmedAt(), now, System.currentTimeMillis());
    }

    /** Releases the role because the entry's lease has ended. */
    void onLeaseLost() {
        mRole.onLeaseLost(System.nanoTime());
    }

    /** Releases the role because the store no longer names this entry as the holder. */
    void onReplaced(long fence, String why) {
        mRole.onReplaced(fence, why, System.nanoTime());
    }

    /** Releases the role because somebody has seen a higher fence than the given one. */
    void onFenced(long fence, String why) {
        mRole.onFenced(fence, why, System.nanoTime());
    }

    /** Begins a graceful stop: hands the role over. */
    void onDrain() {
        mRole.onDrain(System.nanoTime());
    }

    @Override
    public void claim() {
        mContext.lease()
                .acquire(
                        lease -> {
                            if (lease == 0) {
                                mRole.onClaimFailed(System.nanoTime());
                            } else {
                                claim(lease);
                            }
                        },
                        System.nanoTime());
    }

    private void claim(long lease) {
        byte[] value = mContext.self().format().getBytes(StandardCharsets.UTF_8);
        StoreItem holder = mContext.directory().planner();
        OptionalLong replaced =
                holder == null
                        ? mContext.self().expectedRevision(null, 0)
                        : mContext.self().expectedRevision(holder.text(), holder.revision());
        if (replaced.isEmpty()) {
            mRole.onClaimFailed(System.nanoTime());
            return;
        }
        mRole.onClaimSent(holder != null);
        mSharedStore
                .commit(
                        Transaction.builder()
                                .expect(StoreKeys.PLANNER, replaced.getAsLong())
                                .write(StoreKeys.PLANNER, value, lease)
                                .build())
                .thenAcceptAsync(
                        mContext.callback(result -> onClaimed(lease, result)), mContext.executor());
    }

    private void onClaimed(long lease, Result<CommitResult> result) {
        // A key under a lease that was replaced meanwhile goes with it.
        boolean current = lease == mContext.lease().id();
        long fence = current ? result.fold(commit -> fence(lease, commit), fault -> 0L) : 0;
        if (fence == 0) {
            mRole.onClaimFailed(System.nanoTime());
        } else {
            mRole.onClaimed(fence, System.nanoTime());
        }
    }

    private long fence(long lease, CommitResult commit) {
        if (commit.isCommitted()) {
            return commit.revision();
        }
        for (StoreItem item : commit.current()) {
            if (isOwn(item) && item.lease() == lease) {
                return item.revision();
            }
        }
        return 0;
    }

    @Override
    public void onAcquired(long fence, boolean sameHolder, long quietUntil) {
        long quiet = Math.max(0, quietUntil - System.nanoTime());
        mContext.log()
                .write(
                        LogLine.of("duty.holding")
                                .with("fence", fence)
                                .with("before", mLastHolder)
                                .with("same_holder", sameHolder)
                                .with("quiet_ms", Nanos.toMillis(quiet)));
        DutyTerm term = new DutyTerm(fence, sameHolder, quietUntil);
        long now = System.nanoTime();
        mDuties.forEach(duty -> duty.onAcquired(term, now));
    }

    @Override
    public void onReleased(long fence, boolean removeKey, String why) {
        mContext.log().write(LogLine.of("duty.released").with("fence", fence).with("why", why));
        Transaction.Builder handOver = removal(fence);
        mDuties.forEach(duty -> duty.addHandOver(handOver));
        mDuties.forEach(Duty::onReleased);
        if (removeKey) {
            mSharedStore.commit(handOver.build());
        }
    }

    @Override
    public void removeKey(long fence) {
        mSharedStore.commit(removal(fence).build());
    }

    private static Transaction.Builder removal(long fence) {
        return Transaction.builder().expect(StoreKeys.PLANNER, fence).remove(StoreKeys.PLANNER);
    }
}
