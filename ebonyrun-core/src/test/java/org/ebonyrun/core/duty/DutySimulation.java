package org.ebonyrun.core.duty;

import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ebonyrun.base.id.WorkspaceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.VirtualClock;
import org.ebonyrun.core.usage.UsageLedger;
import org.ebonyrun.core.usage.UsageLedgerState;
import org.ebonyrun.core.usage.UsageTimes;
import org.jspecify.annotations.Nullable;

/**
 * Entries that take turns as the holder of the duties, in virtual time, with a store and a platform
 * that fail: suspensions of VMs, cuts, lost responses, calls carried out late, restarts under the
 * same name, graceful stops, and outages of the store with leases that lapse or pause.
 *
 * <p>Each time the counts of a window are read they differ, so two fixes of one window would show
 * as two contents.
 */
final class DutySimulation {
    static final long LEASE_MILLIS = 3_000;
    private static final long CONTACT_MILLIS = 4_000;
    private static final long WINDOW_MILLIS = 5_000;
    private static final long LATE_MILLIS = 10_000;
    private static final long TICK_MILLIS = 20;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final int VM_COUNT = 3;
    private static final WorkspaceName WORKSPACE = WorkspaceName.of("w");

    private final VirtualClock mClock = new VirtualClock();
    private final Random mRandom;
    private final boolean mFenced;
    private final List<DutyCall> mCalls = new ArrayList<>();
    private final List<Vm> mVms = new ArrayList<>();
    private final VirtualRoleStore mStore = new VirtualRoleStore();
    private final Map<Long, Set<Integer>> mAcquired = new TreeMap<>();
    private int mProcessCount;
    private long mCountReads;
    private long mStoreDisturbedAt = -CONTACT_MILLIS;
    private boolean mPlatformDisturbed;
    private long mHighestFence;
    private int mHolderChanges;

    DutySimulation(long seed, boolean fenced) {
        mRandom = new Random(seed);
        mFenced = fenced;
        // Far from zero, as the times of day are.
        mClock.runUntil(Nanos.ofMillis(1_000_000));
        for (int i = 0; i < VM_COUNT; i++) {
            Vm vm = new Vm(i);
            mVms.add(vm);
            vm.start(true);
            mClock.scheduleEvery(Nanos.ofMillis(TICK_MILLIS), now -> vm.tick());
        }
    }

    List<DutyCall> calls() {
        return mCalls;
    }

    /** Returns, by fence, the processes that became the holder with it. */
    Map<Long, Set<Integer>> acquired() {
        return mAcquired;
    }

    int holderChanges() {
        return mHolderChanges;
    }

    long nowMillis() {
        return Nanos.toMillis(mClock.now());
    }

    /** Runs with faults at random times, then without any. */
    void run(long faultyMillis, long calmMillis) {
        long start = nowMillis();
        long at = start + 5_000;
        while (at < start + faultyMillis) {
            mClock.schedule(Nanos.ofMillis(at), now -> disturb());
            at += 500 + mRandom.nextInt(4_000);
        }
        mClock.runUntil(Nanos.ofMillis(start + faultyMillis + calmMillis));
    }

    private void after(long millis, Runnable task) {
        mClock.schedule(mClock.now() + Nanos.ofMillis(millis), now -> task.run());
    }

    private void disturb() {
        // Faults hit the holder more often than others, as they hurt there.
        Vm vm = mVms.get(mRandom.nextInt(VM_COUNT));
        VirtualRoleStore.RoleEntry role = mStore.role();
        if (role != null && mRandom.nextBoolean()) {
            vm = mVms.get(role.vm());
        }
        long millis = 100 + mRandom.nextInt(6_000);
        switch (mRandom.nextInt(8)) {
            case 0 -> vm.suspend(millis);
            case 1 -> vm.cut(millis);
            case 2 -> vm.restart(mRandom.nextInt(4_000));
            case 3 -> vm.stopGracefully();
            case 4 -> storeOutage(millis, mRandom.nextBoolean());
            case 5 -> platformFaults(millis);
            case 6 -> vm.loseResponses(millis);
            default -> dropRole();
        }
    }

    private void storeOutage(long millis, boolean paused) {
        if (mStore.isDown()) {
            return;
        }
        mStore.beginOutage(nowMillis());
        after(
                millis,
                () -> {
                    mStore.endOutage(paused, nowMillis());
                    mStoreDisturbedAt = nowMillis();
                });
    }

    private void platformFaults(long millis) {
        mPlatformDisturbed = true;
        after(millis, () -> mPlatformDisturbed = false);
    }

    private void dropRole() {
        mStoreDisturbedAt = nowMillis();
        mStore.endLeaseOfHolder();
    }

    private static <T> Optional<T> none() {
        return Optional.empty();
    }

    /** A VM with at most one process. */
    private final class Vm {
        final int mId;
        @Nullable Process mProcess;
        boolean mSuspended;
        long mSuspendedMillis;
        int mCuts;
        boolean mLosing;
        long mDisturbedAt = -CONTACT_MILLIS;
        final List<Runnable> mWaiting = new ArrayList<>();

        Vm(int id) {
            mId = id;
        }

        long steady() {
            return mClock.now() - Nanos.ofMillis(mSuspendedMillis);
        }

        boolean inTouch() {
            long now = nowMillis();
            return now - mDisturbedAt >= CONTACT_MILLIS
                    && now - mStoreDisturbedAt >= CONTACT_MILLIS
                    && mCuts == 0
                    && !mSuspended
                    && !mLosing
                    && !mStore.isDown();
        }

        void start(boolean first) {
            mProcess = new Process(this, ++mProcessCount, first);
            mDisturbedAt = nowMillis();
        }

        void tick() {
            mStore.expireLeases(nowMillis());
            if (!mSuspended && mProcess != null) {
                mProcess.tick();
            }
        }

        void suspend(long millis) {
            if (mSuspended) {
                return;
            }
            mSuspended = true;
            after(
                    millis,
                    () -> {
                        mSuspended = false;
                        mSuspendedMillis += millis;
                        mDisturbedAt = nowMillis();
                        List<Runnable> waiting = List.copyOf(mWaiting);
                        mWaiting.clear();
                        waiting.forEach(Runnable::run);
                    });
        }

        void cut(long millis) {
            mCuts++;
            after(
                    millis,
                    () -> {
                        mCuts--;
                        mDisturbedAt = nowMillis();
                    });
        }

        void loseResponses(long millis) {
            mLosing = true;
            after(
                    millis,
                    () -> {
                        mLosing = false;
                        mDisturbedAt = nowMillis();
                    });
        }

        void restart(long downMillis) {
            if (mProcess == null || mSuspended) {
                return;
            }
            mProcess = null;
            after(downMillis, () -> start(false));
        }

        void stopGracefully() {
            Process process = mProcess;
            if (process == null || mSuspended) {
                return;
            }
            process.mDutyRole.onDrain(steady());
            after(
                    1_000,
                    () -> {
                        if (mProcess == process) {
                            restart(500);
                        }
                    });
        }

        /** Runs a task of a process, once the VM runs, if the process still does. */
        void run(Process process, Runnable task) {
            Runnable guarded =
                    () -> {
                        if (mProcess == process) {
                            task.run();
                        }
                    };
            if (mSuspended) {
                mWaiting.add(guarded);
            } else {
                guarded.run();
            }
        }

        /** Calls the store; the callback gets an empty result if there is no response. */
        <T> void callStore(
                Process process, Supplier<Optional<T>> action, Consumer<Optional<T>> callback) {
            boolean[] ended = new boolean[1];
            Consumer<Optional<T>> once =
                    result -> {
                        if (!ended[0]) {
                            ended[0] = true;
                            run(process, () -> callback.accept(result));
                        }
                    };
            after(CALL_TIMEOUT_MILLIS, () -> once.accept(none()));
            // A call whose connection is cut may still be carried out once the cut ends.
            boolean cut = mCuts > 0;
            if (cut && mRandom.nextBoolean()) {
                return;
            }
            after(
                    cut ? 500 + mRandom.nextInt(3_000) : 1 + mRandom.nextInt(20),
                    () -> {
                        mStore.expireLeases(nowMillis());
                        if (mStore.isDown()) {
                            return;
                        }
                        Optional<T> result = action.get();
                        if (mCuts == 0 && !(mLosing && mRandom.nextBoolean())) {
                            after(1 + mRandom.nextInt(20), () -> once.accept(result));
                        }
                    });
        }
    }

    /** The glue that the daemon has around the role and the ledger. */
    private final class Process implements DutyRoleOutputs {
        final Vm mVm;
        final int mNumber;
        final DutyRole mDutyRole;
        final UsageLedger mLedger;
        final Set<Long> mFencedOff = new HashSet<>();
        VirtualRoleStore.@Nullable RoleEntry mView;
        boolean mWatching;
        long mLease;
        long mLeaseEnd;
        long mConfirmedAt;
        long mNextRenewAt;
        boolean mRenewing;
        long mTermFence;
        long mReportRevision;
        boolean mCallPending;
        long mNextScaleAt;

        Process(Vm vm, int number, boolean first) {
            mVm = vm;
            mNumber = number;
            DutyRules rules = new DutyRules(mFenced, Nanos.ofMillis(LEASE_MILLIS));
            mDutyRole = DutyRole.create(rules, !first, mRandom, this);
            long quiet = mFenced ? 0 : LEASE_MILLIS;
            mLedger =
                    UsageLedger.create(
                            UsageTimes.of(
                                    WINDOW_MILLIS,
                                    LATE_MILLIS,
                                    VirtualRoleStore.TTL_MILLIS + quiet));
        }

        boolean leaseValid() {
            return mLease != 0 && mVm.steady() - mLeaseEnd < 0;
        }

        RoleKey key(VirtualRoleStore.@Nullable RoleEntry entry) {
            if (entry == null) {
                return RoleKey.ABSENT;
            }
            if (entry.process() == mNumber) {
                return leaseValid() && entry.lease() == mLease ? RoleKey.OWN : RoleKey.OTHER;
            }
            return entry.vm() == mVm.mId ? RoleKey.EARLIER_PROCESS : RoleKey.OTHER;
        }

        void tick() {
            watch();
            long now = mVm.steady();
            long revision = mView == null ? 0 : mView.revision();
            mDutyRole.onTick(key(mView), revision, now, nowMillis());
            renew(now);
            if (mDutyRole.isHolding() && leaseValid()) {
                tickDuties(now);
            }
        }

        void watch() {
            if (mWatching) {
                return;
            }
            mWatching = true;
            mVm.<Optional<VirtualRoleStore.RoleEntry>>callStore(
                    this,
                    () -> Optional.of(Optional.ofNullable(mStore.role())),
                    result -> {
                        after(mRandom.nextInt(300), () -> mWatching = false);
                        result.ifPresent(entry -> onView(entry.orElse(null)));
                    });
        }

        void onView(VirtualRoleStore.@Nullable RoleEntry entry) {
            mView = entry;
            RoleKey key = entry != null && entry.process() == mNumber ? RoleKey.OWN : key(entry);
            if (entry != null) {
                mDutyRole.onKeyChanged(key, entry.revision(), "vm " + entry.vm(), mVm.steady());
            }
        }

        void renew(long now) {
            if (mLease == 0 || mRenewing || now - mNextRenewAt < 0) {
                boolean unconfirmed = mDutyRole.needsConfirmation(mConfirmedAt);
                if (!unconfirmed || mRenewing || mLease == 0) {
                    return;
                }
            }
            mRenewing = true;
            long lease = mLease;
            mVm.<Boolean>callStore(
                    this,
                    () -> Optional.of(mStore.renew(lease, nowMillis())),
                    result -> {
                        mRenewing = false;
                        if (result.isEmpty()) {
                            mNextRenewAt = mVm.steady() + Nanos.ofMillis(50);
                        } else if (result.get()) {
                            mConfirmedAt = now;
                            mLeaseEnd = now + Nanos.ofMillis(VirtualRoleStore.TTL_MILLIS);
                            mNextRenewAt = now + Nanos.ofMillis(800);
                        } else {
                            mLease = 0;
                            mDutyRole.onLeaseLost(mVm.steady());
                        }
                    });
        }

        @Override
        public void claim() {
            if (leaseValid()) {
                commitClaim();
                return;
            }
            long sentAt = mVm.steady();
            mVm.<Long>callStore(
                    this,
                    () -> Optional.of(mStore.grant(nowMillis())),
                    result -> {
                        if (result.isEmpty()) {
                            mDutyRole.onClaimFailed(mVm.steady());
                            return;
                        }
                        mLease = result.get();
                        mConfirmedAt = sentAt;
                        mLeaseEnd = sentAt + Nanos.ofMillis(VirtualRoleStore.TTL_MILLIS);
                        mNextRenewAt = sentAt + Nanos.ofMillis(800);
                        commitClaim();
                    });
        }

        void commitClaim() {
            long expected = mView == null ? 0 : mView.revision();
            if (mView != null && key(mView) != RoleKey.EARLIER_PROCESS) {
                mDutyRole.onClaimFailed(mVm.steady());
                return;
            }
            long lease = mLease;
            mVm.<Long>callStore(
                    this,
                    () -> Optional.of(mStore.claim(expected, mVm.mId, mNumber, lease)),
                    result -> {
                        if (result.isEmpty() || result.get() == 0) {
                            mDutyRole.onClaimFailed(mVm.steady());
                        } else {
                            mDutyRole.onClaimed(result.get(), mVm.steady());
                        }
                    });
        }

        @Override
        public void onAcquired(long fence, boolean sameHolder, long quietUntil) {
            mAcquired.computeIfAbsent(fence, number -> new HashSet<>()).add(mNumber);
            mHolderChanges++;
            mTermFence = fence;
            mLedger.forget();
        }

        @Override
        public void onReleased(long fence, boolean removeKey, String why) {
            mTermFence = 0;
            mLedger.forget();
            if (removeKey) {
                removeKey(fence);
            }
        }

        @Override
        public void removeKey(long fence) {
            mVm.<Boolean>callStore(
                    this,
                    () -> {
                        mStore.removeRole(fence);
                        return Optional.of(true);
                    },
                    result -> {});
        }

        boolean mayCall(long fence) {
            return leaseValid()
                    && mDutyRole.mayCall(fence, mConfirmedAt, mVm.steady(), nowMillis());
        }

        void tickDuties(long now) {
            long fence = mTermFence;
            if (!mCallPending && !mLedger.isKnown()) {
                readReports(fence);
            } else if (!mCallPending && mLedger.isFixDue(nowMillis())) {
                fixReports(fence);
            }
            if (mayCall(fence)) {
                mLedger.takeDue(now)
                        .ifPresent(
                                due -> callPlatform("usage", fence, due.getKey(), due.getValue()));
            }
            if (mayCall(fence) && now - mNextScaleAt >= 0) {
                mNextScaleAt = now + Nanos.ofMillis(200 + mRandom.nextInt(2_000));
                callPlatform("scale", fence, 0, null);
            }
        }

        void readReports(long fence) {
            mCallPending = true;
            mVm.<Runnable>callStore(
                    this,
                    () -> {
                        UsageLedgerState stored = mStore.stored();
                        long revision = mStore.storedRevision();
                        return Optional.of(
                                () -> {
                                    mReportRevision = revision;
                                    mLedger.onRead(Optional.ofNullable(stored), nowMillis());
                                });
                    },
                    result -> {
                        mCallPending = false;
                        if (mTermFence == fence) {
                            result.ifPresent(Runnable::run);
                        }
                    });
        }

        void fixReports(long fence) {
            mCallPending = true;
            UsageLedgerState state =
                    mLedger.fix(
                            window -> ImmutableSortedMap.of(WORKSPACE, ++mCountReads), nowMillis());
            long expected = mReportRevision;
            mVm.<Long>callStore(
                    this,
                    () -> Optional.of(mStore.fix(fence, expected, state)),
                    result -> {
                        mCallPending = false;
                        if (mTermFence != fence) {
                            return;
                        }
                        if (result.orElse(0L) != 0) {
                            mReportRevision = result.get();
                            mLedger.onFixed(state);
                        } else {
                            mLedger.forget();
                        }
                    });
        }

        void callPlatform(
                String duty,
                long fence,
                long window,
                @Nullable SortedMap<WorkspaceName, Long> counts) {
            if (mFencedOff.contains(fence)) {
                throw new IllegalStateException("fence " + fence + " is used after its refusal");
            }
            boolean touch = mVm.inTouch();
            boolean late = mPlatformDisturbed && mRandom.nextInt(3) == 0;
            boolean lost = late || mVm.mCuts > 0;
            long delay = late ? 500 + mRandom.nextInt(4_000) : 1 + mRandom.nextInt(5);
            if (mVm.mCuts == 0 || late) {
                after(
                        delay,
                        () -> {
                            boolean refused = mFenced && fence < mHighestFence;
                            mHighestFence = Math.max(mHighestFence, fence);
                            mCalls.add(
                                    new DutyCall(
                                            duty,
                                            mVm.mId,
                                            mNumber,
                                            fence,
                                            window,
                                            counts,
                                            nowMillis(),
                                            late,
                                            refused,
                                            touch && mVm.inTouch()));
                            if (!lost) {
                                mVm.run(this, () -> onReply(duty, fence, window, refused));
                            }
                        });
            }
            if (lost) {
                after(
                        CALL_TIMEOUT_MILLIS,
                        () ->
                                mVm.run(
                                        this,
                                        () -> {
                                            if (duty.equals("usage")) {
                                                mLedger.onReply(window, false, mVm.steady());
                                            }
                                        }));
            }
        }

        void onReply(String duty, long fence, long window, boolean refused) {
            if (refused) {
                mFencedOff.add(fence);
                mDutyRole.onFenced(fence, "refused", mVm.steady());
            }
            if (duty.equals("usage")) {
                mLedger.onReply(window, !refused, mVm.steady());
            }
        }
    }
}
