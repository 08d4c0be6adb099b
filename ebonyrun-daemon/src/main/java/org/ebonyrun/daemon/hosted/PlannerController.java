package org.ebonyrun.daemon.hosted;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
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
import org.ebonyrun.ports.store.SharedStore;
import org.ebonyrun.ports.store.Transaction;
import org.jspecify.annotations.Nullable;

/**
 * The duty to plan weights: performs the I/O that the planner's state machine requests while this
 * entry is the holder of the duties. The holder also removes old finished steps from the store, and
 * reports to operators that VMs to be retired are empty.
 *
 * <p>Invariant: an order is sent only while the entry's lease is valid. In deployments whose
 * endpoints don't check fences, it is also sent only after the shared store has recorded it. So a
 * holder that was paused sends none after it has been replaced.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class PlannerController implements Duty, SwapOutputs {
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
    private final DutyHolder mDuties;
    private final Set<String> mReportedRetirements = new HashSet<>();
    private final Set<String> mRequestedRetirements = new HashSet<>();
    private long mNextSweepAt;
    private long mFence;

    PlannerController(
            HostedContext context,
            AsyncHttpClient httpClient,
            SharedStore sharedStore,
            StepStore stepStore,
            Fleet fleet,
            Supplier<HostedSettings> settings,
            DutyHolder duties) {
        mContext = context;
        mHttpClient = httpClient;
        mSharedStore = sharedStore;
        mStepStore = stepStore;
        mSettings = settings;
        mDuties = duties;
        mMachine = SwapMachine.create(fleet, context.policy(), this);
        mOrderLog =
                new OrderLog(
                        sharedStore,
                        context.executor(),
                        MonotonicClock.system(),
                        context.log(),
                        mMachine::orderAges,
                        why -> duties.onReplaced(mFence, why));
    }

    private boolean recordsOrders() {
        return mSettings.get().limits().orderQuietPeriodMillis()
                >= MIN_RECORDED_QUIET_PERIOD_MILLIS;
    }

    SwapMachine machine() {
        return mMachine;
    }

    /** Handles an operator's request to empty a VM. */
    void onRetireRequested(String vm) {
        mRequestedRetirements.add(vm);
    }

    @Override
    public void onTick(long now) {
        if (mMachine.holdsLease()) {
            mMachine.onTick(now);
            reportRetirements();
            deleteOldSteps(now);
        }
    }

    @Override
    public void onAcquired(DutyTerm term, long now) {
        if (recordsOrders()) {
            mOrderLog.read(mDuties.lastFence(), ages -> begin(term, ages));
        } else {
            begin(term, Optional.empty());
        }
    }

    private void begin(DutyTerm term, Optional<OrderAges> ages) {
        if (!mDuties.holdsRole() || mDuties.fence() != term.fence()) {
            return;
        }
        mFence = term.fence();
        mOrderLog.start(mFence);
        long now = System.nanoTime();
        long quietPeriod = Nanos.ofMillis(mSettings.get().limits().orderQuietPeriodMillis());
        if (term.sameHolder()) {
            // The processes of one VM count as one holder, so their orders are this holder's own.
            mMachine.onLeaseAcquired(mFence, quietPeriod, ages.orElse(OrderAges.NONE), now);
        } else if (!mDuties.hasPredecessor()) {
            mMachine.onLeaseAcquired(mFence, quietPeriod, OrderAges.NONE, now);
        } else if (ages.isPresent()) {
            mMachine.onLeaseAcquired(mFence, quietPeriod, ages.get().asEarlier(), now);
        } else {
            mMachine.onLeaseAcquired(mFence, quietPeriod, now);
        }
        mContext.log()
                .write(
                        LogLine.of("planner.holding")
                                .with("fence", mFence)
                                .with("before", mDuties.lastHolder())
                                .with("same_holder", term.sameHolder())
                                .with("known_orders", ages.map(OrderAges::size).orElse(-1))
                                .with("quiet_ms", Nanos.toMillis(quietPeriod)));
    }

    @Override
    public void addHandOver(Transaction.Builder handOver) {
        if (recordsOrders() && mMachine.holdsLease()) {
            mOrderLog.addOrderAges(handOver);
        }
    }

    @Override
    public void onReleased() {
        if (mMachine.holdsLease()) {
            mMachine.onLeaseLost();
            mContext.log().write(LogLine.of("planner.released").with("fence", mFence));
        }
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
        mDuties.onFenced(fence, "an endpoint has seen a higher fence than " + fence);
    }
}
