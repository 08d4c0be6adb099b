package org.ebonyrun.daemon.hosted;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.ebonyrun.base.log.LogLine;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.route.Route;
import org.ebonyrun.core.step.StepId;

/**
 * The routes of steps that began to run while the configuration may have been outdated. Each is
 * looked up again once the store has confirmed the configuration, and the step moves to the one
 * that is in force then.
 *
 * <p>A step that began while the configuration was confirmed lately keeps its route: it was
 * accepted within the time that a new configuration has to come into force.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class ProvisionalRoutes {
    /** Handles steps whose route has changed. */
    interface Listener {
        /** Called when a step must run by another route. */
        void onRouteChanged(StepId step, Route route, long now);
    }

    /** A step, the route by which it runs, and since when it does, by System.nanoTime(). */
    private record Provisional(StepManifest manifest, Route route, long since) {}

    private final HostedContext mContext;
    private final Listener mListener;
    private final Map<StepId, Provisional> mSteps = new HashMap<>();

    ProvisionalRoutes(HostedContext context, Listener listener) {
        mContext = context;
        mListener = listener;
    }

    /** Records that a step begins to run. */
    void onBegun(StepId step, StepManifest manifest, Route route) {
        long now = System.nanoTime();
        long within = Nanos.ofMillis(mContext.settings().limits().configDelayMillis());
        if (now - mContext.configurationReadAt() > within) {
            mSteps.put(step, new Provisional(manifest, route, now));
        }
    }

    /** Forgets a step. */
    void onEnded(StepId step) {
        mSteps.remove(step);
    }

    /** Looks the routes up again once the configuration was confirmed. */
    void onTick(long now) {
        long readAt = mSteps.isEmpty() ? now : mContext.configurationReadAt();
        Iterator<Map.Entry<StepId, Provisional>> steps = mSteps.entrySet().iterator();
        while (steps.hasNext()) {
            Map.Entry<StepId, Provisional> entry = steps.next();
            Provisional step = entry.getValue();
            if (readAt - step.since() > 0) {
                steps.remove();
                confirm(entry.getKey(), step, now);
            }
        }
    }

    private void confirm(StepId id, Provisional step, long now) {
        StepManifest manifest = step.manifest();
        Route route = mContext.routeOf(manifest).orElseGet(manifest::closedRoute);
        if (!route.equals(step.route())) {
            mContext.log()
                    .write(
                            LogLine.of("step.rerouted")
                                    .with("step", id)
                                    .with("route", route.name())
                                    .with("services", route.serviceNames())
                                    .with("age_ms", Nanos.toMillis(now - step.since())));
            mListener.onRouteChanged(id, route, now);
        }
    }
}
