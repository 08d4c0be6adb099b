package org.ebonyrun.daemon.hosted;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.result.Result;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.step.StepId;
import org.ebonyrun.core.swap.EndpointState;
import org.ebonyrun.core.swap.OrderAges;
import org.ebonyrun.core.swap.OrderReply;
import org.ebonyrun.core.swap.SwapMachine;
import org.ebonyrun.core.swap.SwapOrder;
import org.ebonyrun.core.swap.SwapOutputs;
import org.ebonyrun.platform.EndpointDecoder;
import org.ebonyrun.platform.EndpointProtocol;
import org.ebonyrun.platform.OperatorDecoder;
import org.ebonyrun.ports.http.AsyncHttpClient;
import org.ebonyrun.ports.http.HttpResponse;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Holds the planner's lease when nobody else does, and carries out what the planner decides. The
 * holder also removes steps that are over and tells operators that machines are empty.
 *
 * <p>Invariant: an order leaves only while the entry's lease is valid, and where endpoints don't
 * check fences only once it is noted in the store, so a holder that was paused gives none after it
 * was replaced.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class PlannerController implements SwapOutputs {
    private static final long CLAIM_DELAY_NANOS = Nanos.ofMillis(40);
    private static final long CLAIM_JITTER_NANOS = Nanos.ofMillis(200);
    private static final long RETRY_NANOS = Nanos.ofMillis(500);
    private static final long SWEEP_NANOS = Nanos.ofMillis(20_000);
    private static final long KEEP_SLACK_MILLIS = 60_000;
    // The shortest time for which orders of another holder count that is worth a note of each
    // order; below it, waiting costs trainers less than the calls.
    private static final long NOTED_QUIET_MILLIS = 1_000;

    private final HostedContext mParts;
    private final AsyncHttpClient mCaller;
    private final SharedStore mShared;
    private final StepStore mStore;
    private final SwapMachine mMachine;
    private final OrderLog mOrders;
    private final Supplier<HostedSettings> mSettings;
    private final RandomGenerator mRandom;
    private final Set<String> mRetired = new HashSet<>();
    private final Set<String> mRetireAsked = new HashSet<>();
    private boolean mPredecessor;
    private String mLastHolder = "";
    private long mLastFence;
    private boolean mSameHolder;
    private boolean mClaiming;
    private boolean mDraining;
    private long mClaimAt;
    private long mSweepAt;
    private long mFence;

    PlannerController(
            HostedContext parts,
            AsyncHttpClient caller,
            SharedStore shared,
            StepStore store,
            Fleet fleet,
            Supplier<HostedSettings> settings,
            RandomGenerator random) {
        mParts = parts;
        mCaller = caller;
        mShared = shared;
        mStore = store;
        mSettings = settings;
        mRandom = random;
        mPredecessor = !settings.get().firstStart();
        mMachine = SwapMachine.create(fleet, parts.policy(), this);
        mOrders =
                new OrderLog(
                        shared,
                        parts.executor(),
                        MonotonicClock.system(),
                        parts.log(),
                        mMachine::orderAges,
                        this::releaseIfHolding);
    }

    private boolean isNoted() {
        return mSettings.get().limits().orderQuietPeriodMillis() >= NOTED_QUIET_MILLIS;
    }

    SwapMachine machine() {
        return mMachine;
    }

    boolean isLeaseHolder() {
        return mMachine.holdsLease();
    }

    /**
     * Takes in what the watch says of the planner's key.
     *
     * @param revision the revision of the change; changes from before this entry's claim say
     *     nothing
     */
    void onPlannerKeyChanged(@Nullable StoreItem holder, long revision) {
        boolean mine = holder != null && holder.text().equals(mParts.self().format());
        if (holder != null && !mine) {
            mPredecessor = true;
            mLastHolder = holder.text();
            mLastFence = holder.revision();
        }
        if (mMachine.holdsLease() && !mine && revision > mFence) {
            release("the planner's key is " + (holder == null ? "gone" : holder.text()));
        }
    }

    private void release(String why) {
        mMachine.onLeaseLost();
        mPredecessor = true;
        mParts.log().write(LogLine.of("planner.released").with("why", why));
    }

    /** Notes that the entry's lease has ended. */
    void onLeaseLost() {
        releaseIfHolding("the lease has ended");
    }

    private void releaseIfHolding(String why) {
        if (mMachine.holdsLease()) {
            release(why);
        }
    }

    /** Notes that operators want a machine emptied. */
    void onRetireRequested(String vm) {
        mRetireAsked.add(vm);
    }

    void onTick(long now) {
        StoreItem holder = mParts.directory().planner();
        boolean inherited = holder != null && mParts.self().isSuccessorOf(holder.text());
        boolean free = holder == null || inherited;
        if (free && !mMachine.holdsLease() && !mClaiming && !mDraining) {
            claimWhenDue(inherited, now);
        } else if (holder != null) {
            mClaimAt = 0;
        }
        if (!mMachine.holdsLease()) {
            return;
        }
        if (mParts.lease().isValid(now)) {
            mMachine.onTick(now);
            answerRetirements();
            sweep(now);
        }
    }

    private void claimWhenDue(boolean inherited, long now) {
        if (mClaimAt == 0) {
            long delay = CLAIM_DELAY_NANOS + mRandom.nextLong(CLAIM_JITTER_NANOS);
            mClaimAt = inherited ? now : now + delay;
        }
        if (now - mClaimAt < 0) {
            return;
        }
        mClaiming = true;
        mParts.lease()
                .acquire(
                        lease -> {
                            if (lease == 0) {
                                onClaimFailed();
                            } else {
                                claim(lease);
                            }
                        },
                        now);
    }

    private void claim(long lease) {
        byte[] value = mParts.self().format().getBytes(StandardCharsets.UTF_8);
        StoreItem holder = mParts.directory().planner();
        OptionalLong replaced =
                holder == null
                        ? mParts.self().expectedRevision(null, 0)
                        : mParts.self().expectedRevision(holder.text(), holder.revision());
        if (replaced.isEmpty()) {
            onClaimFailed();
            return;
        }
        mSameHolder = holder != null;
        mShared.commit(
                        Transaction.builder()
                                .expect(StoreKeys.PLANNER, replaced.getAsLong())
                                .write(StoreKeys.PLANNER, value, lease)
                                .build())
                .thenAcceptAsync(this::onClaimed, mParts.executor());
    }

    private void onClaimed(Result<CommitResult> result) {
        long fence = result.fold(this::fence, fault -> 0L);
        if (fence == 0) {
            onClaimFailed();
            return;
        }
        if (isNoted()) {
            mOrders.read(mLastFence, ages -> hold(fence, ages));
        } else {
            hold(fence, Optional.empty());
        }
    }

    private void hold(long fence, Optional<OrderAges> ages) {
        mClaiming = false;
        mFence = fence;
        mOrders.start(fence);
        long now = System.nanoTime();
        long quiet = Nanos.ofMillis(mSettings.get().limits().orderQuietPeriodMillis());
        if (mSameHolder) {
            // Orders of the same VM are those of one holder, whichever process gave them.
            mMachine.onLeaseAcquired(fence, quiet, ages.orElse(OrderAges.NONE), now);
        } else if (!mPredecessor) {
            mMachine.onLeaseAcquired(fence, quiet, OrderAges.NONE, now);
        } else if (ages.isPresent()) {
            mMachine.onLeaseAcquired(fence, quiet, ages.get().asEarlier(), now);
        } else {
            mMachine.onLeaseAcquired(fence, quiet, now);
        }
        mParts.log()
                .write(
                        LogLine.of("planner.holding")
                                .with("fence", fence)
                                .with("before", mLastHolder)
                                .with("same_holder", mSameHolder)
                                .with("known_orders", ages.map(OrderAges::size).orElse(-1))
                                .with("quiet_ms", Nanos.toMillis(quiet)));
        if (mDraining) {
            giveUp();
        }
    }

    private long fence(CommitResult commit) {
        if (commit.isCommitted()) {
            return commit.revision();
        }
        for (StoreItem item : commit.current()) {
            if (item.text().equals(mParts.self().format())) {
                return item.revision();
            }
        }
        return 0;
    }

    private void onClaimFailed() {
        mClaiming = false;
        mClaimAt = System.nanoTime() + RETRY_NANOS;
    }

    private void answerRetirements() {
        for (String vm : List.copyOf(mRetireAsked)) {
            if (mRetired.add(vm)) {
                Transaction done =
                        Transaction.builder()
                                .write(
                                        OperatorDecoder.retireStatusKey(vm),
                                        OperatorDecoder.retireDoneValue())
                                .build();
                mShared.commit(done)
                        .thenAcceptAsync(
                                result -> {
                                    if (!result.isOk()) {
                                        mRetired.remove(vm);
                                    }
                                },
                                mParts.executor());
                mParts.log().write(LogLine.of("vm.empty").with("vm", vm));
            }
        }
    }

    private void sweep(long now) {
        if (now - mSweepAt < 0) {
            return;
        }
        mSweepAt = now + SWEEP_NANOS;
        long before =
                System.currentTimeMillis()
                        - mSettings.get().limits().retentionMillis()
                        - KEEP_SLACK_MILLIS;
        for (StepId step : mParts.directory().finishedSteps(before)) {
            mParts.log().write(LogLine.of("step.forgotten").with("step", step));
            mStore.delete(step);
        }
    }

    /** Begins a graceful stop: gives the planning up. */
    void onDrain() {
        mDraining = true;
        if (mMachine.holdsLease()) {
            giveUp();
        }
    }

    private void giveUp() {
        Transaction.Builder handOver =
                Transaction.builder().expect(StoreKeys.PLANNER, mFence).remove(StoreKeys.PLANNER);
        if (isNoted()) {
            mOrders.addOrderAges(handOver);
        }
        release("this entry stops");
        mShared.commit(handOver.build());
    }

    @Override
    public void requestState(Endpoint endpoint) {
        mCaller.request(EndpointProtocol.newStateRequest(endpoint.record()), "endpoint.inspect")
                .thenAcceptAsync(result -> onState(endpoint, result), mParts.executor());
    }

    private void onState(Endpoint endpoint, Result<HttpResponse> result) {
        long now = System.nanoTime();
        EndpointState state = result.fold(PlannerController::state, fault -> null);
        if (state == null) {
            mMachine.onStateUnavailable(endpoint, now);
        } else {
            mMachine.onState(endpoint, state, now);
        }
    }

    private static @Nullable EndpointState state(HttpResponse reply) {
        if (!reply.isSuccess()) {
            return null;
        }
        try {
            return EndpointDecoder.decodeState(reply.body());
        } catch (IllegalArgumentException ignored) {
            // An unreadable state counts as none; the machine asks again.
            return null;
        }
    }

    @Override
    public void sendOrder(Endpoint endpoint, SwapOrder order) {
        if (!mParts.lease().isValid(System.nanoTime())) {
            refuse(endpoint, order);
        } else if (isNoted()) {
            mOrders.recordThenSend(() -> give(endpoint, order), () -> refuse(endpoint, order));
        } else {
            give(endpoint, order);
        }
    }

    private void refuse(Endpoint endpoint, SwapOrder order) {
        mMachine.onReply(endpoint, order, OrderReply.REFUSED, System.nanoTime());
    }

    private void give(Endpoint endpoint, SwapOrder order) {
        if (!mMachine.holdsLease() || order.fence() != mFence) {
            refuse(endpoint, order);
            return;
        }
        mCaller.request(
                        EndpointProtocol.newOrderRequest(
                                endpoint.record(), mSettings.get().vm().value(), order),
                        "endpoint.order")
                .thenAcceptAsync(result -> onReply(endpoint, order, result), mParts.executor());
    }

    private void onReply(Endpoint endpoint, SwapOrder order, Result<HttpResponse> result) {
        OrderReply reply =
                result.fold(
                        answer -> EndpointProtocol.orderReply(answer.status()),
                        fault -> fault.isNotRun() ? OrderReply.REFUSED : OrderReply.UNKNOWN);
        mParts.metrics().count(EntryMetrics.ORDERS, reply.name());
        mParts.log()
                .write(
                        LogLine.of("order")
                                .with("endpoint", endpoint.id())
                                .with("model", order.model())
                                .with("version", order.version())
                                .with("fence", order.fence())
                                .with("expected", order.expectedOrders())
                                .with("reply", reply));
        mMachine.onReply(endpoint, order, reply, System.nanoTime());
    }

    @Override
    public void onFenced(long fence) {
        if (mMachine.holdsLease() && fence == mFence) {
            release("an endpoint has seen a higher fence than " + fence);
        }
    }
}
