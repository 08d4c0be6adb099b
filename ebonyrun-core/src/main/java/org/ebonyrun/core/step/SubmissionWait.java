package org.ebonyrun.core.step;

import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.route.StepOptions;

/**
 * Decides how long a submission waits while the shared store cannot take it, and when its trainer
 * should come back if it does not wait.
 *
 * <p>The load is a trainer that submits during an outage of the store and may ask only once more. A
 * refusal helps it only if the outage ends before that second request; a submission that waits is
 * accepted as soon as the store returns. It waits for as long as its results can still be in time.
 *
 * <p>Stateless and thread safe.
 */
public final class SubmissionWait {
    private static final double CALLER_FRACTION = 0.8;
    private static final long MIN_RETRY_AFTER_MILLIS = 300;
    private static final long MAX_RETRY_AFTER_MILLIS = 4_000;
    private static final double MIN_SPREAD = 0.8;
    private static final double MAX_SPREAD = 1.2;

    private SubmissionWait() {}

    /**
     * Returns how long a submission may wait after its arrival, in nanoseconds.
     *
     * @param callerMillis how long the caller waits for the response, in milliseconds
     */
    public static long maxNanos(StepOptions options, long callerMillis) {
        double caller = CALLER_FRACTION * callerMillis;
        return Nanos.ofMillis((long) Math.max(0, Math.min(options.dueMillis(), caller)));
    }

    /**
     * Returns after which time a refused caller should come back, in milliseconds: an outage is
     * expected to last about as long again as it has lasted. Callers are spread, so that they do
     * not come back at one moment.
     *
     * @param outageNanos how long the outage has lasted, in nanoseconds
     * @param random a uniformly distributed number from 0 to 1
     */
    public static long retryAfterMillis(long outageNanos, double random) {
        long expected =
                Math.max(
                        MIN_RETRY_AFTER_MILLIS,
                        Math.min(MAX_RETRY_AFTER_MILLIS, Nanos.toMillis(outageNanos)));
        return (long) (expected * (MIN_SPREAD + (MAX_SPREAD - MIN_SPREAD) * random));
    }
}
