package org.ebonyrun.daemon.hosted;

import org.ebonyrun.base.time.Nanos;

/**
 * How often an entry's watches call the shared store.
 *
 * <p>Answers the load of many entries that follow the same keys: a watch waits as long, and gathers
 * changes for as long, as the deployment's limits allow. Stateless and thread safe.
 */
final class WatchTimings {
    // How much sooner than its limit a connection that fell silent is noticed: the slack of the
    // store's client, and the time of a new call.
    private static final long CONTACT_SLACK_MILLIS = 800;
    private static final long LEAST_WAIT_MILLIS = 500;
    // Parts of a limit for which changes are gathered; the rest is for the call that tells them and
    // for what was sent before.
    private static final double CONFIG_SHARE = 0.35;
    private static final double LEAVING_SHARE = 0.6;
    // An entry that gives samples to endpoints hears by this time that one has other weights.
    private static final long VERSIONS_MILLIS = 1_200;
    // Below the time in which a trainer goes from one step to the next.
    private static final long STEPS_MILLIS = 300;
    // For an entry that owns nothing: it needs steps only to take them when their owner is gone.
    private static final long IDLE_STEPS_MILLIS = 2_000;

    private WatchTimings() {}

    /** Returns the pace at which an entry hears of configurations and named versions. */
    static StoreWatch.Timing forOperatorKeys(EntryLimits limits, boolean idle) {
        // An entry that owns nothing needs no version at once.
        return pace(limits, idle ? (long) (CONFIG_SHARE * limits.configDelayMillis()) : 0);
    }

    /** Returns the pace at which an entry hears of endpoints. */
    static StoreWatch.Timing forEndpointKeys(EntryLimits limits, boolean idle) {
        long gather = (long) (LEAVING_SHARE * limits.leavingDelayMillis());
        return pace(limits, idle ? gather : Math.min(gather, VERSIONS_MILLIS));
    }

    /** Returns the pace at which an entry hears of steps and their owners. */
    static StoreWatch.Timing forStepKeys(EntryLimits limits, boolean idle) {
        return pace(limits, idle ? IDLE_STEPS_MILLIS : STEPS_MILLIS);
    }

    private static StoreWatch.Timing pace(EntryLimits limits, long gatherMillis) {
        long wait = Math.max(LEAST_WAIT_MILLIS, limits.catchUpMillis() - CONTACT_SLACK_MILLIS);
        return new StoreWatch.Timing(wait, Nanos.ofMillis(gatherMillis));
    }
}
