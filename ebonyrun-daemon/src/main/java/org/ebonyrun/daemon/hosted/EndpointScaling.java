package org.ebonyrun.daemon.hosted;

import java.util.Map;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.MonotonicClock;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.scaling.ScalingBounds;
import org.ebonyrun.ports.duty.DutyApi;
import org.ebonyrun.ports.store.SharedStore;
import org.jspecify.annotations.Nullable;

/**
 * What an entry does for services whose number of endpoints follows their demand: it reports its
 * load, and orders endpoints while it holds the duties. Does nothing if that is no duty of the
 * deployment.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class EndpointScaling {
    private final @Nullable LoadReporter mReporter;
    private final @Nullable ScalingController mController;

    private EndpointScaling(
            @Nullable LoadReporter reporter, @Nullable ScalingController controller) {
        mReporter = reporter;
        mController = controller;
    }

    /**
     * Creates the component of an entry.
     *
     * @param vm the VM of the entry
     * @param api through which endpoints are ordered; null if that is no duty of the deployment
     */
    static EndpointScaling create(
            HostedContext context,
            SharedStore sharedStore,
            Fleet fleet,
            CallController calls,
            String vm,
            @Nullable DutyApi api) {
        if (api == null) {
            return new EndpointScaling(null, null);
        }
        LoadReporter reporter = new LoadReporter(context, sharedStore, fleet, calls::openCalls, vm);
        calls.setRefusalListener(reporter::onRefused);
        return new EndpointScaling(
                reporter,
                new ScalingController(context, sharedStore, fleet, api, MonotonicClock.system()));
    }

    /** Returns the duty to order endpoints; null if there is none. */
    @Nullable Duty duty() {
        return mController;
    }

    void onConfigured(Map<ServiceName, ScalingBounds> scaling, long now) {
        if (mReporter != null && mController != null) {
            mReporter.setServices(scaling.keySet(), now);
            mController.onConfigured(scaling);
        }
    }

    void onStep(StepManifest manifest, long now) {
        if (mController != null) {
            mController.onStep(manifest, now);
        }
    }

    void onTick(long now) {
        if (mReporter != null) {
            mReporter.onTick(now);
        }
    }

    /** Removes what this entry has reported, since it is about to end. */
    void flush(long now) {
        if (mReporter != null) {
            mReporter.onDrained(now);
        }
    }

    void addGauges(Map<String, Double> gauges) {
        if (mController != null) {
            gauges.putAll(mController.gauges());
        }
    }
}
