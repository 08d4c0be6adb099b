package org.ebonyrun.core.swap;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.RouteTable;
import org.jspecify.annotations.Nullable;

/**
 * Moves model engines to the weight versions that trainers name.
 *
 * <p>Answers the load of trainers that name a version every few seconds and accept samples of a few
 * versions back: an endpoint is ordered to load only when its version is about to fall below the
 * bound, and about as many load for each named version, so that most of the pool serves all the
 * time.
 *
 * <p>Invariants: gives orders only while it holds the planner's lease, and none to an endpoint
 * while an order of a holder before it may still count there; at most one order to an endpoint is
 * open; every order names the count of orders that the endpoint had accepted, so one that comes
 * late is refused.
 *
 * <p>Not thread safe; confined to one duty.
 */
public final class SwapMachine {
    // Part of a service's endpoints that may load at a time; the rest serves.
    private static final double LOADING_SHARE = 0.3;
    private static final int MIN_LOADING = 2;
    // A named version is acted on after the step that follows it can tell its bound.
    private static final long SETTLE_NANOS = Nanos.ofMillis(150);
    private static final long FIRST_LOOK_NANOS = Nanos.ofMillis(750);
    private static final long NEXT_LOOK_NANOS = Nanos.ofMillis(150);
    private static final long RETRY_NANOS = Nanos.ofMillis(400);
    private static final long INSPECT_TIMEOUT_NANOS = Nanos.ofMillis(1_500);
    // How long an order may go without effect before it is given again.
    private static final long LOST_NANOS = Nanos.ofMillis(1_600);
    private static final int DEFAULT_LAG = 1;
    private static final int MAX_LAG = 8;

    /** The order that is open at an endpoint. */
    private static final class Job {
        final Endpoint mEndpoint;
        final String mModel;
        final int mVersion;
        final long mStartedAt;
        long mNextLookAt;
        boolean mInspecting;
        // Null until the endpoint's state is known.
        @Nullable SwapOrder mOrder;

        Job(Endpoint endpoint, String model, int version, long now) {
            mEndpoint = endpoint;
            mModel = model;
            mVersion = version;
            mStartedAt = now;
            mNextLookAt = now;
        }
    }

    /** A version that a trainer named. */
    private record Named(int version, long at) {}

    private final Fleet mFleet;
    private final SwapOutputs mOutputs;
    private final boolean mPools;
    private final double mLoadingShare;
    private final Map<String, Named> mNamed = new TreeMap<>();
    private final Map<String, Integer> mLags = new HashMap<>();
    private final Map<String, Integer> mBounds = new HashMap<>();
    private final Map<String, Job> mJobs = new HashMap<>();
    private final Map<String, Long> mRetryAt = new HashMap<>();
    private RouteTable mRoutes = RouteTable.empty();
    private boolean mSingleVersion;
    private boolean mHolding;
    // When an endpoint was last ordered by this holder, and by holders before it.
    private final Map<String, Long> mOwnOrders = new HashMap<>();
    private final Map<String, Long> mEarlierOrders = new HashMap<>();
    private long mFence;
    private long mReadyAt;
    private long mQuietNanos;

    private SwapMachine(Fleet fleet, Policy policy, SwapOutputs outputs) {
        mFleet = fleet;
        mPools = policy.isEnabled(Mechanism.LOAD_POOLS);
        mLoadingShare =
                policy.isEnabled(Mechanism.LOAD_LIMIT) ? LOADING_SHARE : Double.POSITIVE_INFINITY;
        mOutputs = outputs;
    }

    /** Creates a machine that gives no orders. */
    public static SwapMachine create(Fleet fleet, Policy policy, SwapOutputs outputs) {
        return new SwapMachine(fleet, policy, outputs);
    }

    /**
     * Begins to give orders, not knowing which endpoints the holder before has ordered.
     *
     * @param fence the fencing token, higher than that of every holder before
     * @param quietNanos how long orders of another holder count
     */
    public void onLeaseAcquired(long fence, long quietNanos, long now) {
        begin(fence, quietNanos);
        mReadyAt = now + quietNanos;
    }

    /**
     * Begins to give orders after a holder whose orders are known.
     *
     * @param fence the fencing token, higher than that of every holder before
     * @param quietNanos how long orders of another holder count
     * @param ages how long ago endpoints were ordered
     */
    public void onLeaseAcquired(long fence, long quietNanos, OrderAges ages, long now) {
        begin(fence, quietNanos);
        mReadyAt = now;
        ages.own().forEach((id, age) -> mOwnOrders.put(id, now - age));
        ages.earlier().forEach((id, age) -> mEarlierOrders.put(id, now - age));
    }

    private void begin(long fence, long quietNanos) {
        mHolding = true;
        mFence = fence;
        mQuietNanos = quietNanos;
        mOwnOrders.clear();
        mEarlierOrders.clear();
    }

    /**
     * Returns how long ago endpoints were ordered whose orders may still count for another holder;
     * empty if this is not known yet.
     */
    public Optional<OrderAges> orderAges(long now) {
        return mHolding && now - mReadyAt >= 0
                ? Optional.of(new OrderAges(ages(mOwnOrders, now), ages(mEarlierOrders, now)))
                : Optional.empty();
    }

    private Map<String, Long> ages(Map<String, Long> orders, long now) {
        Map<String, Long> ages = new HashMap<>();
        orders.forEach(
                (id, at) -> {
                    if (now - at <= mQuietNanos) {
                        ages.put(id, now - at);
                    }
                });
        return ages;
    }

    /** Stops giving orders. */
    public void onLeaseLost() {
        mHolding = false;
        mJobs.values().forEach(job -> job.mEndpoint.setLoading(false));
        mJobs.clear();
    }

    /** Returns whether this process plans. */
    public boolean holdsLease() {
        return mHolding;
    }

    /** Takes the configuration in. */
    public void onRoutes(RouteTable routes, boolean singleVersion) {
        mRoutes = routes;
        mSingleVersion = singleVersion;
    }

    /** Notes that a trainer named a version; versions of a model only grow. */
    public void onVersionNamed(String model, int version, long now) {
        Named known = mNamed.get(model);
        if (known == null || version > known.version()) {
            mNamed.put(model, new Named(version, now));
        }
    }

    /** Returns the newest named version of a model; zero if none was named. */
    public int newestNamedVersion(String model) {
        Named named = mNamed.get(model);
        return named == null ? 0 : named.version();
    }

    /** Learns from a step how far its bound lies behind the newest version. */
    public void onStep(String model, int number, int minVersion) {
        if (model.isEmpty()) {
            return;
        }
        mBounds.merge(model, minVersion, Math::max);
        if (minVersion > 1) {
            mLags.put(model, Math.max(0, Math.min(MAX_LAG, number - minVersion)));
        }
    }

    /** Takes the state of an endpoint in. */
    public void onState(Endpoint endpoint, EndpointState state, long now) {
        state.versions().forEach(endpoint::observeVersion);
        Job job = mJobs.get(endpoint.id());
        if (job == null || job.mEndpoint != endpoint) {
            return;
        }
        job.mInspecting = false;
        if (state.versions().getOrDefault(job.mModel, 0) >= job.mVersion) {
            finish(job, now, 0);
        } else if (state.busy()) {
            job.mNextLookAt = now + NEXT_LOOK_NANOS;
        } else if (job.mOrder == null) {
            order(job, state.acceptedOrders(), now);
        } else if (now - job.mStartedAt > LOST_NANOS) {
            finish(job, now, 0);
        } else {
            job.mNextLookAt = now + NEXT_LOOK_NANOS;
        }
    }

    /** Notes that an endpoint did not tell its state. */
    public void onStateUnavailable(Endpoint endpoint, long now) {
        Job job = mJobs.get(endpoint.id());
        if (job != null && job.mEndpoint == endpoint) {
            job.mInspecting = false;
            finish(job, now, RETRY_NANOS);
        }
    }

    /** Takes the answer to an order in; does nothing unless that order is the open one. */
    public void onReply(Endpoint endpoint, SwapOrder order, OrderReply reply, long now) {
        Job job = mJobs.get(endpoint.id());
        if (job == null || job.mEndpoint != endpoint || !order.equals(job.mOrder)) {
            return;
        }
        switch (reply) {
            case ACCEPTED -> job.mNextLookAt = now + FIRST_LOOK_NANOS;
            case HOLDS -> {
                endpoint.observeVersion(job.mModel, job.mVersion);
                finish(job, now, 0);
            }
            case UNKNOWN -> job.mNextLookAt = now + RETRY_NANOS;
            case CONFLICT, REFUSED -> finish(job, now, RETRY_NANOS);
            case FENCED -> {
                finish(job, now, RETRY_NANOS);
                mOutputs.onFenced(mFence);
            }
            default -> throw new IllegalStateException("endpoint answered " + reply);
        }
    }

    /** Looks after open orders and gives new ones. */
    public void onTick(long now) {
        if (!mHolding || now - mReadyAt < 0) {
            return;
        }
        for (Job job : List.copyOf(mJobs.values())) {
            watch(job, now);
        }
        // What is below its bound serves nobody, so it goes before what will be with the next
        // version.
        for (boolean ahead : new boolean[] {false, true}) {
            for (Map.Entry<String, Named> entry : mNamed.entrySet()) {
                long settle = mLags.containsKey(entry.getKey()) ? 0 : SETTLE_NANOS;
                if (now - entry.getValue().at() >= settle) {
                    plan(entry.getKey(), entry.getValue().version(), ahead, now);
                }
            }
        }
    }

    private void watch(Job job, long now) {
        boolean gone = mFleet.get(job.mEndpoint.id()) != job.mEndpoint;
        if (gone || !job.mEndpoint.isServing()) {
            finish(job, now, 0);
        } else if (job.mEndpoint.version(job.mModel) >= job.mVersion) {
            finish(job, now, 0);
        } else if (job.mInspecting) {
            if (now - job.mNextLookAt > INSPECT_TIMEOUT_NANOS) {
                onStateUnavailable(job.mEndpoint, now);
            }
        } else if (now - job.mNextLookAt >= 0) {
            job.mInspecting = true;
            job.mNextLookAt = now;
            mOutputs.requestState(job.mEndpoint);
        }
    }

    private void order(Job job, long expectedOrders, long now) {
        mOwnOrders.put(job.mEndpoint.id(), now);
        job.mNextLookAt = now + FIRST_LOOK_NANOS;
        SwapMode mode = mSingleVersion ? SwapMode.WAIT : SwapMode.KEEP;
        SwapOrder order =
                new SwapOrder(
                        job.mEndpoint.id(), job.mModel, job.mVersion, mode, mFence, expectedOrders);
        job.mOrder = order;
        mOutputs.sendOrder(job.mEndpoint, order);
    }

    private void finish(Job job, long now, long retryNanos) {
        mJobs.remove(job.mEndpoint.id());
        job.mEndpoint.setLoading(false);
        if (retryNanos > 0) {
            mRetryAt.put(job.mEndpoint.id(), now + retryNanos);
        }
    }

    private void plan(String model, int named, boolean aheadOnly, long now) {
        int lag = mLags.getOrDefault(model, DEFAULT_LAG);
        List<Endpoint> all = engines(model);
        List<Endpoint> engines = mPools ? EnginePools.poolFor(all, model, lag) : all;
        int needed = Math.max(mBounds.getOrDefault(model, 0), named - lag);
        engines.sort(
                Comparator.comparingInt((Endpoint endpoint) -> endpoint.version(model))
                        .thenComparingInt(Endpoint::activeRequests)
                        .thenComparing(Endpoint::id));
        int oldest = 0;
        for (Endpoint endpoint : engines) {
            if (endpoint.version(model) <= needed) {
                oldest++;
            }
        }
        // Those at the oldest usable version fall below the bound with the next version.
        int kept = mPools ? (int) Math.ceil((double) engines.size() / (lag + 1)) : 0;
        int surplus = oldest - kept;
        for (Endpoint endpoint : engines) {
            boolean below = endpoint.version(model) < needed;
            boolean ahead = endpoint.version(model) == needed && needed < named && surplus > 0;
            surplus--;
            if (aheadOnly ? ahead : below) {
                begin(endpoint, model, named, all.size(), now);
            }
        }
    }

    private void begin(Endpoint endpoint, String model, int version, int engines, long now) {
        @Nullable Long retryAt = mRetryAt.get(endpoint.id());
        @Nullable Long earlier = mEarlierOrders.get(endpoint.id());
        boolean waits =
                (retryAt != null && now - retryAt < 0)
                        || (earlier != null && now - earlier < mQuietNanos);
        int most = Math.max(MIN_LOADING, (int) (mLoadingShare * engines));
        if (waits || mJobs.size() >= most || mJobs.containsKey(endpoint.id())) {
            return;
        }
        Job job = new Job(endpoint, model, version, now);
        mJobs.put(endpoint.id(), job);
        endpoint.setLoading(true);
        job.mInspecting = true;
        mOutputs.requestState(endpoint);
    }

    private List<Endpoint> engines(String model) {
        List<Endpoint> engines = new ArrayList<>();
        for (Endpoint endpoint : mFleet.all()) {
            boolean engine = mRoutes.isEngine(endpoint.record().service());
            if (engine && endpoint.isServing() && endpoint.version(model) > 0) {
                engines.add(endpoint);
            }
        }
        return engines;
    }
}
