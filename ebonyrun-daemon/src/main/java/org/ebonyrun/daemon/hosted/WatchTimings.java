package org.ebonyrun.daemon.hosted;

import org.ebonyrun.base.time.Nanos;

/**
 * Computes how long an entry's watches wait for changes and how long they batch them.
 *
 * <p>Many entries watch the same keys. To keep the load on the shared store low, a watch waits and
 * batches for as long as the deployment's limits allow. Stateless and thread safe.
 */
final class WatchTimings {
    // A watch whose connection went silent has to time out this long before the limit: the slack of
    // the store client's timeout, and the time of a new call.
    private static final long CATCH_UP_SLACK_MILLIS = 800;
    private static final long MIN_WAIT_MILLIS = 500;
    // The fractions of the limits for which changes are batched. The rest is for the call that
    // returns them and for what is already in flight.
    private static final double CONFIG_FRACTION = 0.35;
    private static final double LEAVING_FRACTION = 0.6;
    // An entry that owns steps sends samples to endpoints, so it has to receive an endpoint's new
    // weight version within this time.
    private static final long VERSIONS_BATCH_MILLIS = 1_200;
    // Shorter than the time between two steps of a trainer.
    private static final long STEPS_BATCH_MILLIS = 300;
    // An idle entry needs steps only to claim them when their owner is gone.
    private static final long IDLE_STEPS_BATCH_MILLIS = 2_000;

    // The longest wait that the store allows, and the longest time for which changes are batched.
    private static final long MAX_WAIT_MILLIS = 30_000;
    private static final long MAX_BATCH_MILLIS = 10_000;
    // An entry in contact has to learn of a crash within the contact limit.
    private static final double CRASHES_BATCH_FRACTION = 1.0 / 6;
    private static final long CRASHES_WAIT_FACTOR = 5;

    private WatchTimings() {}

    /**
     * Returns the timing of the watch on configurations and named weight versions.
     *
     * @param idle whether the entry owns neither a step nor the planner
     */
    static StoreWatch.Timing forOperatorKeys(EntryLimits limits, boolean idle) {
        // An idle entry does not need a named version at once.
        long batch = idle ? (long) (CONFIG_FRACTION * limits.configDelayMillis()) : 0;
        if (!limits.strictKeys()) {
            return timing(limits, batch);
        }
        // Two polls fit into the silence after which keys are refused.
        long maxWait = Math.max(MIN_WAIT_MILLIS, limits.keysSilenceMillis() / 2 - batch);
        return timing(Math.min(waitMillis(limits), maxWait), batch, false);
    }

    /**
     * Returns the timing of the watch on endpoints.
     *
     * @param idle whether the entry owns neither a step nor the planner
     */
    static StoreWatch.Timing forEndpointKeys(EntryLimits limits, boolean idle) {
        long batchMillis = (long) (LEAVING_FRACTION * limits.leavingDelayMillis());
        return timing(limits, idle ? batchMillis : Math.min(batchMillis, VERSIONS_BATCH_MILLIS));
    }

    /**
     * Returns the timing of the watch on the live keys of steps and of the planner. What an idle
     * entry learns late delays only its claims, which the store checks; an entry that owns a step
     * must learn of its end in time.
     *
     * @param idle whether the entry owns neither a step nor the planner
     */
    static StoreWatch.Timing forStepKeys(EntryLimits limits, boolean idle) {
        return timing(limits, idle ? IDLE_STEPS_BATCH_MILLIS : STEPS_BATCH_MILLIS, idle);
    }

    /**
     * Returns the timing of the watch on calls that crash endpoints. Records are rare, so a poll
     * waits for several times the contact limit; the other watches detect a connection to the store
     * that went silent.
     */
    static StoreWatch.Timing forCrashRecords(EntryLimits limits) {
        long contact = Math.min(MAX_WAIT_MILLIS, limits.catchUpMillis());
        long wait = Math.max(MIN_WAIT_MILLIS, CRASHES_WAIT_FACTOR * contact);
        return timing(wait, (long) (CRASHES_BATCH_FRACTION * contact), false);
    }

    private static StoreWatch.Timing timing(EntryLimits limits, long batchMillis) {
        return timing(limits, batchMillis, false);
    }

    private static StoreWatch.Timing timing(
            EntryLimits limits, long batchMillis, boolean mayBeStale) {
        return timing(waitMillis(limits), batchMillis, mayBeStale);
    }

    private static long waitMillis(EntryLimits limits) {
        return Math.max(MIN_WAIT_MILLIS, limits.catchUpMillis() - CATCH_UP_SLACK_MILLIS);
    }

    private static StoreWatch.Timing timing(long waitMillis, long batchMillis, boolean mayBeStale) {
        return new StoreWatch.Timing(
                Math.min(MAX_WAIT_MILLIS, waitMillis),
                Nanos.ofMillis(Math.min(MAX_BATCH_MILLIS, batchMillis)),
                mayBeStale);
    }
}
