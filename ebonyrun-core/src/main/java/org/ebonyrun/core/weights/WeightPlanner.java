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
 * Brings the newest weights of each engine service to its endpoints, a part of them at a time.
 *
 * <p>Invariants: orders are given only under the service's planner lease and carry its fence; at
 * most {@link #MAX_SWAPPING_SHARE} of the endpoints swap at once, but at least one; at most {@link
 * #MAX_STORE_FETCHES} fetch from the rate-limited store at once, the others copy from endpoints
 * that have the version, each of which serves at most {@link #MAX_COPIES} at once.
 *
 * <p>Not thread safe; confined to the weight duty.
 */
public final class WeightPlanner implements Ticking, LeaseListener {
    /** Greatest share of a service's endpoints that swap at once. */
    public static final double MAX_SWAPPING_SHARE = 0.34;

    /** Greatest number of endpoints that fetch from the store at once. */
    public static final int MAX_STORE_FETCHES = 2;

    /** Greatest number of endpoints that copy from one endpoint at once. */
    public static final int MAX_COPIES_PER_SOURCE = 2;

    private static final long POLL_NANOS = Nanos.ofMillis(500);
    private static final long ORDER_NANOS = Nanos.ofMillis(30_000);
    private static final long BACKOFF_NANOS = Nanos.ofMillis(1_000);

    private final LeaseHolder mSelf;
    private final PlannerOutputs mOutputs;
    private final Map<ServiceName, Plan> mPlans = new HashMap<>();

    private WeightPlanner(LeaseHolder self, PlannerOutputs outputs) {
        mSelf = self;
        mOutputs = outputs;
    }

    /** The roll-out of one service. Confined to the weight duty. */
    private static final class Plan {
        private final ServiceName mService;
        private final Lease mLease;
        private final EndpointTracker mRollout = new EndpointTracker();
        private long mNextPoll;

        Plan(ServiceName service, Lease lease) {
            mService = service;
            mLease = lease;
        }
    }

    /** Creates a planner without services. */
    public static WeightPlanner create(LeaseHolder self, PlannerOutputs outputs) {
        return new WeightPlanner(self, outputs);
    }

    /** Adds the services whose weights are planned. */
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

    /** Takes note of the version that an endpoint reports. */
    public void onVersion(VmId vm, ServiceName service, long version, boolean usable) {
        Plan plan = mPlans.get(service);
        if (plan == null) {
            return;
        }
        if (usable) {
            plan.mRollout.onVersion(vm, version);
        } else {
            plan.mRollout.remove(vm);
        }
    }

    /** Handles the newest version in the store. */
    public void onLatestVersion(ServiceName service, long version, long now) {
        Plan plan = mPlans.get(service);
        if (plan != null) {
            plan.mRollout.onLatestVersion(version);
            order(plan, now);
        }
    }

    /** Handles the end of an order. */
    public void onLoadResult(
            VmId vm, ServiceName service, WeightMessage.LoadResult result, long now) {
        Plan plan = mPlans.get(service);
        if (plan == null || !plan.mRollout.isLoading(vm, result.version())) {
            return;
        }
        if (result.fault() == null) {
            plan.mRollout.onLoaded(vm, result.version());
        } else {
            plan.mRollout.onFailed(vm, now + BACKOFF_NANOS);
        }
        order(plan, now);
    }

    @Override
    public void onLeaseRecord(String key, LeaseRecord reading, long now) {
        Plan plan = byKey(key);
        if (plan != null) {
            plan.mLease.onRecord(reading, now);
        }
    }

    @Override
    public void onLeaseUnavailable(String key, long now) {
        Plan plan = byKey(key);
        if (plan != null) {
            plan.mLease.onUnavailable(now);
        }
    }

    @Override
    public void onLeaseRenewed(String key, boolean granted, long now) {
        Plan plan = byKey(key);
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
            if (plan.mLease.isHeld(now) && now - plan.mNextPoll >= 0) {
                plan.mNextPoll = now + POLL_NANOS;
                mOutputs.requestLatestVersion(plan.mService);
            }
            order(plan, now);
        }
    }

    /** Returns the state for a dump. */
    public List<PlanDump> dump(long now) {
        List<PlanDump> plans = new ArrayList<>();
        for (Plan plan : mPlans.values()) {
            plans.add(
                    new PlanDump(
                            plan.mService,
                            plan.mLease.isHeld(now),
                            plan.mLease.fence(),
                            plan.mRollout.latestVersion(),
                            plan.mRollout.failureCount(),
                            plan.mRollout.versions()));
        }
        return plans;
    }

    /**
     * The state of one service's roll-out for people.
     *
     * @param service the service
     * @param planner whether this process plans it
     * @param fence the fence of its orders
     * @param latest the newest version in the store
     * @param failures orders that failed
     * @param versions the version of each endpoint
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
        EndpointTracker rollout = plan.mRollout;
        rollout.processTimeouts(now);
        int allowed = Math.max(1, (int) (rollout.endpointCount() * MAX_SWAPPING_SHARE));
        while (rollout.loadingCount() < allowed) {
            VmId vm = rollout.nextOutdated();
            String source = rollout.chooseSource();
            if (vm == null || source == null) {
                return;
            }
            if (mOutputs.sendOrder(vm, loadOrder(plan, source))) {
                rollout.onOrderSent(vm, source, now + ORDER_NANOS);
            } else {
                rollout.onFailed(vm, now + BACKOFF_NANOS);
            }
        }
    }

    private WeightMessage.LoadOrder loadOrder(Plan plan, String from) {
        long version = plan.mRollout.latestVersion();
        String source =
                from.equals(EndpointTracker.STORE)
                        ? mOutputs.storeSource(plan.mService, version)
                        : mOutputs.peerSource(VmId.of(from), plan.mService, version);
        return new WeightMessage.LoadOrder(version, plan.mLease.fence(), source);
    }

    private @Nullable Plan byKey(String key) {
        return mPlans.values().stream()
                .filter(plan -> plan.mLease.key().equals(key))
                .findFirst()
                .orElse(null);
    }
}
