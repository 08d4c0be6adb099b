package org.ebonyrun.core.call;

import java.util.List;
import java.util.Optional;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.RequestGate;

/**
 * How soon calls are admitted at a service all of whose endpoints limit their requests.
 *
 * <p>Answers the load of callers that together ask for several times what the endpoints take: a
 * call that can't be admitted in time is refused at once, with the time at which this process is
 * expected to have room for it.
 *
 * <p>Immutable and thread safe.
 */
final class LimitedCapacity {
    private static final long MAX_RETRY_AFTER_MILLIS = 10_000;

    private final long mFirstWaitNanos;
    private final double mAdmittedPerSecond;
    private final double mSharePerSecond;

    private LimitedCapacity(long firstWaitNanos, double admittedPerSecond, double sharePerSecond) {
        mFirstWaitNanos = firstWaitNanos;
        mAdmittedPerSecond = admittedPerSecond;
        mSharePerSecond = sharePerSecond;
    }

    /** Returns the capacity of a service; empty if an endpoint of it has no limit. */
    static Optional<LimitedCapacity> of(List<Endpoint> serving, long now) {
        long firstWait = Long.MAX_VALUE;
        double admitted = 0;
        double share = 0;
        for (Endpoint endpoint : serving) {
            RequestGate gate = endpoint.gate();
            if (gate == null) {
                return Optional.empty();
            }
            firstWait = Math.min(firstWait, gate.expectedWaitNanos(now));
            admitted += gate.admittedPerSecond();
            share += gate.sharePerSecond();
        }
        return serving.isEmpty()
                ? Optional.empty()
                : Optional.of(new LimitedCapacity(firstWait, admitted, share));
    }

    /**
     * Returns the time until a call is expected to be admitted, in nanoseconds; {@link
     * Long#MAX_VALUE} if no admission is expected.
     *
     * @param before the number of waiting calls that go before it
     */
    long waitNanos(int before) {
        if (mFirstWaitNanos == Long.MAX_VALUE || before == 0) {
            return mFirstWaitNanos;
        }
        double rate = Math.max(mAdmittedPerSecond, mSharePerSecond);
        return mFirstWaitNanos + nanos(before, rate);
    }

    /**
     * Returns after which time a refused caller finds room again, in milliseconds.
     *
     * @param before the number of waiting calls that go before its own
     */
    long retryAfterMillis(int before) {
        double rate = Math.max(mAdmittedPerSecond, mSharePerSecond);
        return Math.min(MAX_RETRY_AFTER_MILLIS, Nanos.toMillis(nanos(before + 1, rate)));
    }

    private static long nanos(int calls, double perSecond) {
        return perSecond > 0 ? (long) (calls / perSecond * Nanos.PER_SECOND) : Long.MAX_VALUE / 2;
    }
}
