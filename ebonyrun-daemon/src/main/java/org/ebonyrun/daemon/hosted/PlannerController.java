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
import org.ebonyrun.core.fleet.LimitNotice;
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
import org.ebonyrun.ports.http.HttpHeaders;
import org.ebonyrun.ports.http.HttpResponse;
import org.ebonyrun.ports.store.CommitResult;
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.StoreItem;
import org.ebonyrun.ports.store.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * Claims the planner role when no other entry holds it, and performs the I/O that the planner's
 * state machine requests. The role belongs to the process whose name is in the planner's key, which
 * is attached to the entry's lease. The holder also removes old finished steps from the store, and
 * reports to operators that VMs to be retired are empty.
 *
 * <p>Invariant: an order is sent only while the entry's lease is valid. In deployments whose
 * endpoints don't check fences, it is also sent only after the shared store has recorded it. So a
 * holder that was paused sends none after it has been replaced.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class PlannerController implements SwapOutputs {
    private static final long CLAIM_DELAY_NANOS = Nanos.ofMillis(40);
    private static final long CLAIM_JITTER_NANOS = Nanos.ofMillis(200);
    private static final long RETRY_NANOS = Nanos.ofMillis(500);
    private static final long SWEEP_NANOS = Nanos.ofMillis(20_000);
    private static final long RETENTION_SLACK_MILLIS = 60_000;
    // Orders are recorded only if orders of another holder may still take effect for at least this
    // time. Below it, waiting that long after a change of the holder costs trainers less than the
    // calls that record each order.
    private static final long MIN_RECORDED_QUIET_PERIOD_MILLIS = 1_000;

    private final HostedContext mContext;
    private final AsyncHttpClient mHttpClient;
    private final SharedStore mSharedStore;
    private final StepStore mStepStore;
    private final SwapMachine mMachine;
    private final OrderLog mOrderLog;
    private final Supplier<HostedSettings> mSettings;
    private final RandomGenerator mRandom;
    private final Set<String> mReportedRetirements = new HashSet<>();
    private final Set<String> mRequestedRetirements = new HashSet<>();
    private boolean mHasPredecessor;
    private String mLastHolder = "";
    private long mLastFence;
    private boolean mSameHolder;
    private boolean mClaiming;
    private boolean mDraining;
    private long mNextClaimAt;
    private long mNextSweepAt;
    private long mFence;

    PlannerController(
            HostedContext context,
            AsyncHttpClient httpClient,
            SharedStore sharedStore,
            StepStore stepStore,
            Fleet fleet,
            Supplier<HostedSettings> settings,
            RandomGenerator random) {
        mContext = context;
        mHttpClient = httpClient;
        mSharedStore = sharedStore;
        mStepStore = stepStore;
        mSettings = settings;
        mRandom = random;
        mHasPredecessor = !settings.get().firstStart();
        mMachine = SwapMachine.create(fleet, context.policy(), this);
        mOrderLog =
                new OrderLog(
                        sharedStore,
                        context.executor(),
                        MonotonicClock.system(),
                        context.log(),
                        mMachine::orderAges,
                        this::releaseIfHolding);
    }

    private boolean recordsOrders() {
        return mSettings.get().limits().orderQuietPeriodMillis()
                >= MIN_RECORDED_QUIET_PERIOD_MILLIS;
    }

    SwapMachine machine() {
        return mMachine;
    }

    boolean holdsRole() {
        return mMachine.holdsLease();
    }

    /**
     * Handles a change of the planner's key that the watch has reported.
     *
     * @param revision the revision of the change; a change before this entry's own claim does not
     *     end the role
     */
    void onPlannerKeyChanged(@Nullable StoreItem holder, long revision) {
        boolean own = holder != null && holder.text().equals(mContext.self().format());
        if (holder != null && !own) {
            mHasPredecessor = true;
            mLastHolder = holder.text();
            mLastFence = holder.revision();
        }
        if (mMachine.holdsLease() && !own && revision > mFence) {
            release("the planner's key is " + (holder == null ? "gone" : holder.text()));
        }
    }

    private void release(String why) {
        mMachine.onLeaseLost();
        mHasPredecessor = true;
        mContext.log().write(LogLine.of("planner.released").with("why", why));
    }

    /** Releases the planner role because the entry's lease has ended. */
    void onLeaseLost() {
        releaseIfHolding("the lease has ended");
    }

    private void releaseIfHolding(String why) {
        if (mMachine.holdsLease()) {
            release(why);
        }
    }

    /** Handles an operator's request to empty a VM. */
    void onRetireRequested(String vm) {
        mRequestedRetirements.add(vm);
    }

    void onTick(long now) {
        StoreItem holder = mContext.directory().planner();
        boolean inherited = holder != null && mContext.self().isSuccessorOf(holder.text());
        boolean free = holder == null || inherited;
        if (free && !mMachine.holdsLease() && !mClaiming && !mDraining) {
            claimWhenDue(inherited, now);
        } else if (holder != null) {
            mNextClaimAt = 0;
        }
        if (!mMachine.holdsLease()) {
            return;
        }
        if (mContext.lease().isValid(now)) {
            mMachine.onTick(now);
            reportRetirements();
            deleteOldSteps(now);
        }
    }

    private void claimWhenDue(boolean inherited, long now) {
        if (mNextClaimAt == 0) {
            long delay = CLAIM_DELAY_NANOS + mRandom.nextLong(CLAIM_JITTER_NANOS);
            mNextClaimAt = inherited ? now : now + delay;
        }
        if (now - mNextClaimAt < 0) {
            return;
        }
        mClaiming = true;
        mContext.lease()
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
        byte[] value = mContext.self().format().getBytes(StandardCharsets.UTF_8);
        StoreItem holder = mContext.directory().planner();
        OptionalLong replaced =
                holder == null
                        ? mContext.self().expectedRevision(null, 0)
                        : mContext.self().expectedRevision(holder.text(), holder.revision());
        if (replaced.isEmpty()) {
            onClaimFailed();
            return;
        }
        mSameHolder = holder != null;
        mSharedStore
                .commit(
                        Transaction.builder()
                                .expect(StoreKeys.PLANNER, replaced.getAsLong())
                                .write(StoreKeys.PLANNER, value, lease)
                                .build())
                .thenAcceptAsync(mContext.callback(this::onClaimed), mContext.executor());
    }

    private void onClaimed(Result<CommitResult> result) {
        long fence = result.fold(this::fence, fault -> 0L);
        if (fence == 0) {
            onClaimFailed();
            return;
        }
        if (recordsOrders()) {
            mOrderLog.read(mLastFence, ages -> acquireRole(fence, ages));
        } else {
            acquireRole(fence, Optional.empty());
        }
    }

    private void acquireRole(long fence, Optional<OrderAges> ages) {
        mClaiming = false;
        mFence = fence;
        mOrderLog.start(fence);
        long now = System.nanoTime();
        long quietPeriod = Nanos.ofMillis(mSettings.get().limits().orderQuietPeriodMillis());
        if (mSameHolder) {
            // The processes of one VM count as one holder, so their orders are this holder's own.
            mMachine.onLeaseAcquired(fence, quietPeriod, ages.orElse(OrderAges.NONE), now);
        } else if (!mHasPredecessor) {
            mMachine.onLeaseAcquired(fence, quietPeriod, OrderAges.NONE, now);
        } else if (ages.isPresent()) {
            mMachine.onLeaseAcquired(fence, quietPeriod, ages.get().asEarlier(), now);
        } else {
            mMachine.onLeaseAcquired(fence, quietPeriod, now);
        }
        mContext.log()
                .write(
                        LogLine.of("planner.holding")
                                .with("fence", fence)
                                .with("before", mLastHolder)
                                .with("same_holder", mSameHolder)
                                .with("known_orders", ages.map(OrderAges::size).orElse(-1))
                                .with("quiet_ms", Nanos.toMillis(quietPeriod)));
        if (mDraining) {
            handOver();
        }
    }

    private long fence(CommitResult commit) {
        if (commit.isCommitted()) {
            return commit.revision();
        }
        for (StoreItem item : commit.current()) {
            if (item.text().equals(mContext.self().format())) {
                return item.revision();
            }
        }
        return 0;
    }

    private void onClaimFailed() {
        mClaiming = false;
        mNextClaimAt = System.nanoTime() + RETRY_NANOS;
    }

    private void reportRetirements() {
        for (String vm : List.copyOf(mRequestedRetirements)) {
            if (mReportedRetirements.add(vm)) {
                Transaction done =
                        Transaction.builder()
                                .write(
                                        OperatorDecoder.retireStatusKey(vm),
                                        OperatorDecoder.retireDoneValue())
                                .build();
                mSharedStore
                        .commit(done)
                        .thenAcceptAsync(
                                mContext.callback(
                                        result -> {
                                            if (!result.isOk()) {
                                                mReportedRetirements.remove(vm);
                                            }
                                        }),
                                mContext.executor());
                mContext.log().write(LogLine.of("vm.empty").with("vm", vm));
            }
        }
    }

    private void deleteOldSteps(long now) {
        if (now - mNextSweepAt < 0) {
            return;
        }
        mNextSweepAt = now + SWEEP_NANOS;
        long cutoff =
                System.currentTimeMillis()
                        - mSettings.get().limits().retentionMillis()
                        - RETENTION_SLACK_MILLIS;
        for (StepId step : mContext.directory().finishedSteps(cutoff)) {
            mContext.log().write(LogLine.of("step.forgotten").with("step", step));
            mStepStore.delete(step);
        }
    }

    /** Begins a graceful stop: hands the planner role over. */
    void onDrain() {
        mDraining = true;
        if (mMachine.holdsLease()) {
            handOver();
        }
    }

    private void handOver() {
        Transaction.Builder transaction =
                Transaction.builder().expect(StoreKeys.PLANNER, mFence).remove(StoreKeys.PLANNER);
        if (recordsOrders()) {
            mOrderLog.addOrderAges(transaction);
        }
        release("this entry is stopping");
        mSharedStore.commit(transaction.build());
    }

    @Override
    public void requestState(Endpoint endpoint) {
        long sentAt = System.nanoTime();
        mHttpClient
                .request(EndpointProtocol.newStateRequest(endpoint.record()), "endpoint.inspect")
                .thenAcceptAsync(
                        mContext.callback(result -> onState(endpoint, result, sentAt)),
                        mContext.executor());
    }

    /** Notes what an endpoint announces about itself, which any of its responses may do. */
    private void noteAnnouncements(Endpoint endpoint, Result<HttpResponse> result, long sentAt) {
        HttpHeaders headers = result.fold(HttpResponse::headers, fault -> HttpHeaders.empty());
        if (EndpointProtocol.announcesLeaving(headers, endpoint.id())) {
            mContext.onEndpointLeaving(endpoint.record());
        }
        LimitNotice notice =
                result.fold(
                        response ->
                                EndpointProtocol.limitNotice(
                                        response.status(), headers, endpoint.id()),
                        fault -> LimitNotice.NONE);
        mContext.onLimitNotice(endpoint.record(), notice, sentAt);
    }

    private void onState(Endpoint endpoint, Result<HttpResponse> result, long sentAt) {
        noteAnnouncements(endpoint, result, sentAt);
        long now = System.nanoTime();
        EndpointState state = result.fold(PlannerController::state, fault -> null);
        if (state == null) {
            mMachine.onStateUnavailable(endpoint, now);
        } else {
            mMachine.onState(endpoint, state, now);
        }
    }

    private static @Nullable EndpointState state(HttpResponse response) {
        if (!response.isSuccess()) {
            return null;
        }
        try {
            return EndpointDecoder.decodeState(response.body());
        } catch (IllegalArgumentException ignored) {
            // An unreadable state counts as no state; the machine requests it again.
            return null;
        }
    }

    @Override
    public void sendOrder(Endpoint endpoint, SwapOrder order) {
        if (!mContext.lease().isValid(System.nanoTime())) {
            refuse(endpoint, order);
        } else if (recordsOrders()) {
            mOrderLog.recordThenSend(() -> send(endpoint, order), () -> refuse(endpoint, order));
        } else {
            send(endpoint, order);
        }
    }

    private void refuse(Endpoint endpoint, SwapOrder order) {
        mMachine.onReply(endpoint, order, OrderReply.REFUSED, System.nanoTime());
    }

    private void send(Endpoint endpoint, SwapOrder order) {
        boolean holds = mMachine.holdsLease() && order.fence() == mFence;
        if (!holds || !endpoint.isServing()) {
            refuse(endpoint, order);
            return;
        }
        long sentAt = System.nanoTime();
        mHttpClient
                .request(
                        EndpointProtocol.newOrderRequest(
                                endpoint.record(), mSettings.get().vm().value(), order),
                        "endpoint.order")
                .thenAcceptAsync(
                        mContext.callback(result -> onReply(endpoint, order, result, sentAt)),
                        mContext.executor());
    }

    private void onReply(
            Endpoint endpoint, SwapOrder order, Result<HttpResponse> result, long sentAt) {
        noteAnnouncements(endpoint, result, sentAt);
        OrderReply reply =
                result.fold(
                        response -> EndpointProtocol.orderReply(response.status()),
                        fault -> fault.isNotRun() ? OrderReply.REFUSED : OrderReply.UNKNOWN);
        mContext.metrics().count(EntryMetrics.ORDERS, reply.name());
        mContext.log()
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
