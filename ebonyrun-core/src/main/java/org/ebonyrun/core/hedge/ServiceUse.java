package org.ebonyrun.core.hedge;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What one process uses of a service.
 *
 * <p>Immutable and thread safe.
 *
 * @param waitingCalls the number of calls that wait for a free slot
 * @param activeRequests the number of open requests at the serving endpoints
 * @param slots the number of slots of the serving endpoints
 * @param limited whether a serving endpoint names a limit
 */
public record ServiceUse(int waitingCalls, int activeRequests, int slots, boolean limited) {
    // A hedged attempt takes a slot that a first attempt may need when less than this is free.
    private static final double MAX_USED_FRACTION = 0.75;

    /** Checks that no number is negative. */
    public ServiceUse {
        checkArgument(waitingCalls >= 0, "number of waiting calls is negative: %s", waitingCalls);
        checkArgument(activeRequests >= 0, "number of requests is negative: %s", activeRequests);
        checkArgument(slots >= 0, "number of slots is negative: %s", slots);
    }

    /** Returns whether the room of the service is needed for first attempts. */
    boolean isBusy() {
        return waitingCalls > 0 || activeRequests >= MAX_USED_FRACTION * slots;
    }
}
