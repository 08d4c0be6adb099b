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
import org.ebonyrun.core.fleet.RequestKind;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.route.RouteTable;
import org.jspecify.annotations.Nullable;

/**
 * The planner's part in weight swaps: orders model engines to load the weight versions that
 * trainers name. ({@code org.ebonyrun.core.weights.SwapMachine} is the agent's part: it passes
 * orders on to its endpoint.)
 *
 * <p>Trainers name a new version every few seconds and accept samples of versions down to a minimum
 * that is a few versions behind. An endpoint is therefore ordered to load only when its version is
 * about to fall below that minimum, and the loads are spread evenly over the named versions, so
 * that most of the pool serves at any time.
 *
 * <p>Invariants: the machine sends orders only while this process holds the planner's lease, and
 * sends an endpoint none while an order of an earlier holder may still take effect there; at most
 * one order to an endpoint is open; every order carries the number of orders that the endpoint had
 * accepted, so the endpoint rejects one that arrives late.
 *
 * <p>Not thread safe; confined to one event loop.
 */
public final class SwapMachine {
    // Fraction of a service's endpoints that may load at a time; the others keep serving.
    private static final double LOADING_FRACTION = 0.3;
    private static final int MIN_LOADING = 2;
    // Delay before a model's first named version is acted on, so that the step that follows it can
    // report the model's minimum version.
    private static final long STEP_WAIT_NANOS = Nanos.ofMillis(150);
    private static final long FIRST_CHECK_NANOS = Nanos.ofMillis(750);
    private static final long CHECK_INTERVAL_NANOS = Nanos.ofMillis(150);
    private static final long RETRY_NANOS = Nanos.ofMillis(400);
    private static final long INSPECT_TIMEOUT_NANOS = Nanos.ofMillis(1_500);
    // An order that has had no effect for this long is sent again.
    private static final long NO_EFFECT_NANOS = Nanos.ofMillis(1_600);
    private static final int DEFAULT_LAG = 1;
    private static final int MAX_LAG = 8;

    /** A load at one endpoint, from the request for its state until the load has ended. */
    private static final class PendingLoad {
        final Endpoint mEndpoint;
        final String mModel;
        final int mVersion;
        final long mStartedAt;
        long mNextCheckAt;
        boolean mInspecting;
        // Null until the endpoint's state has arrived and the order was sent.
        @Nullable SwapOrder mOrder;
        // How many orders the endpoint has accepted, if its limit has not admitted the order yet.
        @Nullable Long mAcceptedOrders;

        PendingLoad(Endpoint endpoint, String model, int version, long now) {
            mEndpoint = endpoint;
            mModel = model;
            mVersion = version;
            mStartedAt = now;
            mNextCheckAt = now;
        }
    }

    /** The newest version of a model that a trainer named, and when it was named. */
    private record NamedVersion(int version, long at) {}

    private final Fleet mFleet;
    private final SwapOutputs mOutputs;
    private final boolean mPoolsEnabled;
    private final double mLoadingFraction;
    private final Map<String, NamedVersion> mNamedVersions = new TreeMap<>();
    private final Map<String, Integer> mLagByModel = new HashMap<>();
    private final Map<String, Integer> mMinVersionByModel = new HashMap<>();
    private final Map<String, PendingLoad> mPendingLoads = new HashMap<>();
    private final Map<String, Long> mRetryAt = new HashMap<>();
    private RouteTable mRoutes = RouteTable.empty();
    private boolean mSingleVersion;
    private boolean mHoldsLease;
    // When each endpoint was last ordered by this holder (any process of this VM), and by earlier
    // holders.
    private final Map<String, Long> mOrderedAt = new HashMap<>();
    private final Map<String, Long> mEarlierOrderedAt = new HashMap<>();
    private long mFence;
    private long mReadyAt;
    private long mQuietNanos;

    private SwapMachine(Fleet fleet, Policy policy, SwapOutputs outputs) {
        mFleet = fleet;
        mPoolsEnabled = policy.isEnabled(Mechanism.LOAD_POOLS);
        mLoadingFraction =
                policy.isEnabled(Mechanism.LOAD_LIMIT)
                        ? LOADING_FRACTION
                        : Double.POSITIVE_INFINITY;
        mOutputs = outputs;
    }

    /** Creates a machine that does not hold the planner's lease. */
    public static SwapMachine create(Fleet fleet, Policy policy, SwapOutputs outputs) {
        return new SwapMachine(fleet, policy, outputs);
    }

    /**
     * Handles the acquisition of the planner's lease after a holder whose orders are unknown. The
     * first order is sent after the quiet period.
     *
     * @param fence the fencing token, higher than that of every earlier holder
     * @param quietNanos the quiet period: how long orders of an earlier holder may take effect
     */
    public void onLeaseAcquired(long fence, long quietNanos, long now) {
        startHolding(fence, quietNanos);
        mReadyAt = now + quietNanos;
    }

    /**
     * Handles the acquisition of the planner's lease after a holder whose orders are known. Only
     * the endpoints that an earlier holder ordered within the quiet period have to wait.
     *
     * @param fence the fencing token, higher than that of every earlier holder
     * @param quietNanos the quiet period: how long orders of an earlier holder may take effect
     * @param ages the ages of the orders sent so far
     */
    public void onLeaseAcquired(long fence, long quietNanos, OrderAges ages, long now) {
        startHolding(fence, quietNanos);
        mReadyAt = now;
        ages.own().forEach((id, age) -> mOrderedAt.put(id, now - age));
        ages.earlier().forEach((id, age) -> mEarlierOrderedAt.put(id, now - age));
    }

    private void startHolding(long fence, long quietNanos) {
        mHoldsLease = true;
        mFence = fence;
        mQuietNanos = quietNanos;
        mOrderedAt.clear();
        mEarlierOrderedAt.clear();
    }

    /**
     * Returns the ages of the orders within the quiet period, for the next holder of the lease;
     * empty if they are not known yet.
     */
    public Optional<OrderAges> orderAges(long now) {
        return mHoldsLease && now - mReadyAt >= 0
                ? Optional.of(new OrderAges(ages(mOrderedAt, now), ages(mEarlierOrderedAt, now)))
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

    /** Handles the loss or the release of the planner's lease: stops sending orders. */
    public void onLeaseLost() {
        mHoldsLease = false;
        mPendingLoads.values().forEach(load -> load.mEndpoint.setLoading(false));
        mPendingLoads.clear();
    }

    /** Returns whether this process holds the planner's lease. */
    public boolean holdsLease() {
        return mHoldsLease;
    }

    /**
     * Applies a configuration.
     *
     * @param singleVersion whether running requests finish before their engine loads a version, so
     *     that each runs under a single one
     */
    public void onRoutes(RouteTable routes, boolean singleVersion) {
        mRoutes = routes;
        mSingleVersion = singleVersion;
    }

    /**
     * Handles a version that a trainer named. Versions of a model only grow, so an older one is
     * ignored.
     */
    public void onVersionNamed(String model, int version, long now) {
        NamedVersion known = mNamedVersions.get(model);
        if (known == null || version > known.version()) {
            mNamedVersions.put(model, new NamedVersion(version, now));
        }
    }

    /** Returns the newest named version of a model; zero if none was named. */
    public int newestNamedVersion(String model) {
        NamedVersion named = mNamedVersions.get(model);
        return named == null ? 0 : named.version();
    }

    /**
     * Handles the manifest of a step, from which the machine derives how many versions the
     * trainer's samples may lag behind.
     *
     * @param number the number of the step
     * @param minVersion the lowest version that the step accepts samples of
     */
    public void onStep(String model, int number, int minVersion) {
        if (model.isEmpty()) {
            return;
        }
        mMinVersionByModel.merge(model, minVersion, Math::max);
        if (minVersion > 1) {
            mLagByModel.put(model, Math.max(0, Math.min(MAX_LAG, number - minVersion)));
        }
    }

    /**
     * Handles the state of an endpoint: ends its load, sends the order, or checks again later. The
     * state of another incarnation counts as unavailable.
     */
    public void onState(Endpoint endpoint, EndpointState state, long now) {
        if (!isOfSameLife(endpoint, state)) {
            onStateUnavailable(endpoint, now);
            return;
        }
        state.versions().forEach(endpoint::observeVersion);
        PendingLoad load = mPendingLoads.get(endpoint.id());
        if (load == null || load.mEndpoint != endpoint) {
            return;
        }
        load.mInspecting = false;
        if (state.versions().getOrDefault(load.mModel, 0) >= load.mVersion) {
            finish(load, now, 0);
        } else if (state.busy()) {
            load.mNextCheckAt = now + checkIntervalNanos(endpoint);
        } else if (load.mOrder == null) {
            sendOrder(load, state.acceptedOrders(), now);
        } else if (now - load.mStartedAt > NO_EFFECT_NANOS) {
            finish(load, now, 0);
        } else {
            load.mNextCheckAt = now + checkIntervalNanos(endpoint);
        }
    }

    private static boolean isOfSameLife(Endpoint endpoint, EndpointState state) {
        long expected = endpoint.record().incarnation();
        return expected == 0 || state.incarnation() == 0 || state.incarnation() == expected;
    }

    /** Returns the time between two checks; longer if each is a part of the endpoint's limit. */
    private static long checkIntervalNanos(Endpoint endpoint) {
        return endpoint.isLimited() ? NO_EFFECT_NANOS : CHECK_INTERVAL_NANOS;
    }

    /** Handles the failure to get the state of an endpoint. */
    public void onStateUnavailable(Endpoint endpoint, long now) {
        PendingLoad load = mPendingLoads.get(endpoint.id());
        if (load != null && load.mEndpoint == endpoint) {
            load.mInspecting = false;
            finish(load, now, RETRY_NANOS);
        }
    }

    /** Handles the reply to an order; ignored unless that order is the open one. */
    public void onReply(Endpoint endpoint, SwapOrder order, OrderReply reply, long now) {
        PendingLoad load = mPendingLoads.get(endpoint.id());
        if (load == null || load.mEndpoint != endpoint || !order.equals(load.mOrder)) {
            return;
        }
        switch (reply) {
            case ACCEPTED -> load.mNextCheckAt = now + FIRST_CHECK_NANOS;
            case HOLDS -> {
                endpoint.observeVersion(load.mModel, load.mVersion);
                finish(load, now, 0);
            }
            case UNKNOWN -> load.mNextCheckAt = now + RETRY_NANOS;
            case CONFLICT, REFUSED -> finish(load, now, RETRY_NANOS);
            case FENCED -> {
                finish(load, now, RETRY_NANOS);
                mOutputs.onFenced(mFence);
            }
            default -> throw new IllegalStateException("unexpected reply to an order: " + reply);
        }
    }

    /** Checks the pending loads and starts new ones. */
    public void onTick(long now) {
        if (!mHoldsLease || now - mReadyAt < 0) {
            return;
        }
        for (PendingLoad load : List.copyOf(mPendingLoads.values())) {
            check(load, now);
        }
        // Engines below the minimum version can't serve their trainer, so they load before those
        // that will only fall below it with the next version.
        for (boolean ahead : new boolean[] {false, true}) {
            for (Map.Entry<String, NamedVersion> entry : mNamedVersions.entrySet()) {
                long wait = mLagByModel.containsKey(entry.getKey()) ? 0 : STEP_WAIT_NANOS;
                if (now - entry.getValue().at() >= wait) {
                    planModel(entry.getKey(), entry.getValue().version(), ahead, now);
                }
            }
        }
    }

    private void check(PendingLoad load, long now) {
        boolean removed = mFleet.get(load.mEndpoint.id()) != load.mEndpoint;
        if (removed || !load.mEndpoint.isServing()) {
            finish(load, now, 0);
        } else if (load.mEndpoint.version(load.mModel) >= load.mVersion) {
            finish(load, now, 0);
        } else if (load.mInspecting) {
            if (now - load.mNextCheckAt > INSPECT_TIMEOUT_NANOS) {
                onStateUnavailable(load.mEndpoint, now);
            }
        } else if (load.mAcceptedOrders != null) {
            sendOrder(load, load.mAcceptedOrders, now);
        } else if (now - load.mNextCheckAt >= 0) {
            requestState(load, now);
        }
    }

    /** Requests the state of a load's endpoint if the limit of the endpoint admits it. */
    private void requestState(PendingLoad load, long now) {
        Endpoint endpoint = load.mEndpoint;
        if (!endpoint.admits(RequestKind.CONTROL, now)) {
            endpoint.onWaiting(RequestKind.CONTROL, now);
            return;
        }
        load.mInspecting = true;
        load.mNextCheckAt = now;
        endpoint.onRequestSent(now);
        mOutputs.requestState(endpoint);
    }

    private void sendOrder(PendingLoad load, long expectedOrders, long now) {
        Endpoint endpoint = load.mEndpoint;
        if (!endpoint.admits(RequestKind.CONTROL, now)) {
            endpoint.onWaiting(RequestKind.CONTROL, now);
            load.mAcceptedOrders = expectedOrders;
            return;
        }
        load.mAcceptedOrders = null;
        endpoint.onRequestSent(now);
        mOrderedAt.put(endpoint.id(), now);
        load.mNextCheckAt = now + Math.max(FIRST_CHECK_NANOS, checkIntervalNanos(endpoint));
        SwapMode mode = mSingleVersion ? SwapMode.WAIT : SwapMode.KEEP;
        SwapOrder order =
                new SwapOrder(
                        load.mEndpoint.id(),
                        load.mModel,
                        load.mVersion,
                        mode,
                        mFence,
                        expectedOrders);
        load.mOrder = order;
        mOutputs.sendOrder(load.mEndpoint, order);
    }

    private void finish(PendingLoad load, long now, long retryNanos) {
        mPendingLoads.remove(load.mEndpoint.id());
        load.mEndpoint.setLoading(false);
        if (retryNanos > 0) {
            mRetryAt.put(load.mEndpoint.id(), now + retryNanos);
        }
    }

    private void planModel(String model, int named, boolean aheadOnly, long now) {
        int lag = mLagByModel.getOrDefault(model, DEFAULT_LAG);
        List<Endpoint> all = engines(model);
        List<Endpoint> engines = mPoolsEnabled ? EnginePools.poolFor(all, model, lag) : all;
        int minVersion = Math.max(mMinVersionByModel.getOrDefault(model, 0), named - lag);
        engines.sort(
                Comparator.comparingInt((Endpoint endpoint) -> endpoint.version(model))
                        .thenComparingInt(Endpoint::activeRequests)
                        .thenComparing(Endpoint::id));
        int oldestCount = 0;
        for (Endpoint endpoint : engines) {
            if (endpoint.version(model) <= minVersion) {
                oldestCount++;
            }
        }
        // Engines at the oldest usable version fall below the minimum with the next version. One
        // share of them may load then; the surplus loads now, so that loads remain evenly spread.
        int nextShare = mPoolsEnabled ? (int) Math.ceil((double) engines.size() / (lag + 1)) : 0;
        int surplus = oldestCount - nextShare;
        for (Endpoint endpoint : engines) {
            boolean below = endpoint.version(model) < minVersion;
            boolean ahead =
                    endpoint.version(model) == minVersion && minVersion < named && surplus > 0;
            surplus--;
            if (aheadOnly ? ahead : below) {
                startLoad(endpoint, model, named, all.size(), now);
            }
        }
    }

    private void startLoad(Endpoint endpoint, String model, int version, int engines, long now) {
        @Nullable Long retryAt = mRetryAt.get(endpoint.id());
        @Nullable Long earlier = mEarlierOrderedAt.get(endpoint.id());
        boolean mustWait =
                (retryAt != null && now - retryAt < 0)
                        || (earlier != null && now - earlier < mQuietNanos);
        int maxLoading = Math.max(MIN_LOADING, (int) (mLoadingFraction * engines));
        if (mustWait
                || mPendingLoads.size() >= maxLoading
                || mPendingLoads.containsKey(endpoint.id())) {
            return;
        }
        if (!endpoint.admits(RequestKind.CONTROL, now)) {
            endpoint.onWaiting(RequestKind.CONTROL, now);
            return;
        }
        PendingLoad load = new PendingLoad(endpoint, model, version, now);
        mPendingLoads.put(endpoint.id(), load);
        endpoint.setLoading(true);
        requestState(load, now);
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
