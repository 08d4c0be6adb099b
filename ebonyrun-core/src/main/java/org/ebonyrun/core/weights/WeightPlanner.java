package org.ebonyrun.core.weights;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ebonyrun.base.eventloop.Ticking;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.lease.Lease;
import org.ebonyrun.core.lease.LeaseHolder;
import org.ebonyrun.core.lease.LeaseListener;
import org.ebonyrun.core.lease.LeaseRecord;
import org.ebonyrun.core.lease.LeaseState;
import org.jspecify.annotations.Nullable;

/**
 * Orders the endpoints of each engine service to load the newest weights, a limited number of them
 * at a time.
 *
 * <p>Invariants: orders are sent only while this process holds the service's planner lease, and
 * contain its fence; at most {@link #MAX_SWAPPING_SHARE} of the endpoints swap at the same time,
 * but at least one may; at most {@link #MAX_STORE_FETCHES} of them fetch from the rate-limited
 * weight store, and the others copy from endpoints that have the version, each of which serves at
 * most {@link #MAX_COPIES_PER_SOURCE} copies at the same time.
 *
 * <p>Not thread safe; confined to the planner's event loop.
 */
public final class WeightPlanner implements Ticking, LeaseListener {
    /** Maximum fraction of a service's endpoints that swap at the same time. */
    public static final double MAX_SWAPPING_SHARE = 0.34;

    /** Maximum number of endpoints that fetch from the weight store at the same time. */
    public static final int MAX_STORE_FETCHES = 2;

    /** Maximum number of endpoints that copy from one endpoint at the same time. */
    public static final int MAX_COPIES_PER_SOURCE = 2;

    // Interval between requests for the newest version in the weight store.
    private static final long POLL_INTERVAL_NANOS = Nanos.ofMillis(500);
    // An order without a result after this time counts as failed.
    private static final long ORDER_TIMEOUT_NANOS = Nanos.ofMillis(30_000);
    // Delay before an endpoint whose order failed is ordered again.
    private static final long BACKOFF_NANOS = Nanos.ofMillis(1_000);

    private final LeaseHolder mSelf;
    private final PlannerOutputs mOutputs;
    private final Map<ServiceName, Plan> mPlans = new HashMap<>();

    private WeightPlanner(LeaseHolder self, PlannerOutputs outputs) {
        mSelf = self;
        mOutputs = outputs;
    }

    /** The plan of one service: its lease and the state of its endpoints. */
    private static final class Plan {
        private final ServiceName mService;
        private final Lease mLease;
        private final EndpointTracker mEndpoints = new EndpointTracker();
        private long mNextPollAt;

        Plan(ServiceName service, Lease lease) {
            mService = service;
            mLease = lease;
        }
    }

    /** Creates a planner without services. */
    public static WeightPlanner create(LeaseHolder self, PlannerOutputs outputs) {
        return new WeightPlanner(self, outputs);
    }

    /** Sets the services whose weights are planned. */
    public void onServices(List<ServiceName> services) {
        mPlans.keySet().retainAll(services);
        for (ServiceName service : services) {
            mPlans.computeIfAbsent(
                    service, key -> new Plan(key, Lease.create(leaseKey(key), mSelf, mOutputs)));
        }
    }

    /** Returns the key of a service's planner lease, whose revision is the fence. */
    public static String leaseKey(ServiceName service) {
        return "planner/" + service;
    }

    /**
     * Handles the version that an endpoint reports.
     *
     * @param usable whether the endpoint can take work; an unusable endpoint is not counted and
     *     gets no orders
     */
    public void onVersion(VmId vm, ServiceName service, long version, boolean usable) {
        Plan plan = mPlans.get(service);
        if (plan == null) {
            return;
        }
        if (usable) {
            plan.mEndpoints.onVersion(vm, version);
        } else {
            plan.mEndpoints.remove(vm);
        }
    }

    /** Handles the newest version in the weight store. */
    public void onLatestVersion(ServiceName service, long version, long now) {
        Plan plan = mPlans.get(service);
        if (plan != null) {
            plan.mEndpoints.onLatestVersion(version);
            order(plan, now);
        }
    }

    /** Handles the result of an order. */
    public void onLoadResult(
            VmId vm, ServiceName service, WeightMessage.LoadResult result, long now) {
        Plan plan = mPlans.get(service);
        if (plan == null || !plan.mEndpoints.isLoading(vm, result.version())) {
            return;
        }
        if (result.fault() == null) {
            plan.mEndpoints.onLoaded(vm, result.version());
        } else {
            plan.mEndpoints.onFailed(vm, now + BACKOFF_NANOS);
        }
        order(plan, now);
    }

    @Override
    public void onLeaseRecord(String key, LeaseRecord leaseRecord, long now) {
        Plan plan = findByLeaseKey(key);
        if (plan != null) {
            plan.mLease.onRecord(leaseRecord, now);
        }
    }

    @Override
    public void onLeaseUnavailable(String key, long now) {
        Plan plan = findByLeaseKey(key);
        if (plan != null) {
            plan.mLease.onUnavailable(now);
        }
    }

    @Override
    public void onLeaseRenewed(String key, boolean granted, long now) {
        Plan plan = findByLeaseKey(key);
        if (plan == null) {
            return;
        }
        if (granted) {
            plan.mLease.onRenewed(now);
        } else {
            plan.mLease.onRenewalRefused(now);
        }
    }

    @Override
    public void onTick(long now) {
        for (Plan plan : mPlans.values()) {
            if (plan.mLease.state(now) == LeaseState.UNKNOWN) {
                plan.mLease.acquireIfDue(now);
            }
            plan.mLease.renewIfDue(now);
            if (plan.mLease.isHeld(now) && now - plan.mNextPollAt >= 0) {
                plan.mNextPollAt = now + POLL_INTERVAL_NANOS;
                mOutputs.requestLatestVersion(plan.mService);
            }
            order(plan, now);
        }
    }

    /** Returns the state of each plan, for the admin dump. */
    public List<PlanDump> dump(long now) {
        List<PlanDump> plans = new ArrayList<>();
        for (Plan plan : mPlans.values()) {
            plans.add(
                    new PlanDump(
                            plan.mService,
                            plan.mLease.isHeld(now),
                            plan.mLease.fence(),
                            plan.mEndpoints.latestVersion(),
                            plan.mEndpoints.failureCount(),
                            plan.mEndpoints.versions()));
        }
        return plans;
    }

    /**
     * The state of the weights of one service, for the admin dump.
     *
     * @param service the service
     * @param planner whether this process holds the service's planner lease
     * @param fence the fence of the planner's orders
     * @param latest the newest version in the store
     * @param failures the number of orders that failed
     * @param versions the weight version of each endpoint
     */
    public record PlanDump(
            ServiceName service,
            boolean planner,
            long fence,
            long latest,
            long failures,
            Map<VmId, Long> versions) {}

    private void order(Plan plan, long now) {
        if (!plan.mLease.isHeld(now)) {
            return;
        }
        EndpointTracker endpoints = plan.mEndpoints;
        endpoints.processTimeouts(now);
        int allowed = Math.max(1, (int) (endpoints.endpointCount() * MAX_SWAPPING_SHARE));
        while (endpoints.loadingCount() < allowed) {
            VmId vm = endpoints.nextOutdated();
            String source = endpoints.chooseSource();
            if (vm == null || source == null) {
                return;
            }
            if (mOutputs.sendOrder(vm, newLoadOrder(plan, source))) {
                endpoints.onOrderSent(vm, source, now + ORDER_TIMEOUT_NANOS);
            } else {
                endpoints.onFailed(vm, now + BACKOFF_NANOS);
            }
        }
    }

    private WeightMessage.LoadOrder newLoadOrder(Plan plan, String from) {
        long version = plan.mEndpoints.latestVersion();
        String source =
                from.equals(EndpointTracker.STORE)
                        ? mOutputs.storeSource(plan.mService, version)
                        : mOutputs.peerSource(VmId.of(from), plan.mService, version);
        return new WeightMessage.LoadOrder(version, plan.mLease.fence(), source);
    }

    private @Nullable Plan findByLeaseKey(String key) {
        return mPlans.values().stream()
                .filter(plan -> plan.mLease.key().equals(key))
                .findFirst()
                .orElse(null);
    }
}
