package org.ebonyrun.core.call;

import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;

/**
 * Places a call where the answer is expected first, in its own failure domain if that is about as
 * good, and keeps a part of each endpoint's slots from background calls.
 *
 * <p>Answers the load of short calls to a service some of whose endpoints are slow or failing.
 * Immutable and thread safe.
 */
public final class LowestLatencyPlacement implements CallPlacement {
    private static final double REMOTE_DOMAIN_FACTOR = 1.15;
    private static final double TRIED_FACTOR = 4;
    private static final double AVOIDED_FACTOR = 1_000;
    private static final long DEFAULT_ANSWER_NANOS = Nanos.ofMillis(30);

    private final FailureDomain mDomain;
    private final double mBackgroundShare;
    private final double mRemoteFactor;

    private LowestLatencyPlacement(
            FailureDomain domain, double backgroundShare, double remoteFactor) {
        mDomain = domain;
        mRemoteFactor = remoteFactor;
        mBackgroundShare = backgroundShare;
    }

    /** Creates a placement for a process in a failure domain, which it prefers. */
    static LowestLatencyPlacement preferringDomain(FailureDomain domain, double backgroundShare) {
        return new LowestLatencyPlacement(domain, backgroundShare, REMOTE_DOMAIN_FACTOR);
    }

    /** Creates a placement for which all failure domains are alike. */
    static LowestLatencyPlacement ignoringDomains(double backgroundShare) {
        return new LowestLatencyPlacement(FailureDomain.of("any"), backgroundShare, 1);
    }

    /** Returns how long an endpoint is expected to take for an answer, in nanoseconds. */
    static double expectedLatencyNanos(Endpoint endpoint) {
        return endpoint.latencyNanos() == 0 ? DEFAULT_ANSWER_NANOS : endpoint.latencyNanos();
    }

    @Override
    public int concurrencyLimit(Endpoint endpoint, boolean background) {
        return CallPlacement.concurrencyLimit(endpoint, background, mBackgroundShare);
    }

    @Override
    public double cost(Endpoint endpoint, boolean tried, long now) {
        double load = (endpoint.activeRequests() + 1.0) / endpoint.record().slots();
        double cost = expectedLatencyNanos(endpoint) * (1 + load);
        if (!endpoint.record().domain().equals(mDomain)) {
            cost *= mRemoteFactor;
        }
        if (tried) {
            cost *= TRIED_FACTOR;
        }
        if (endpoint.isAvoided(now)) {
            cost *= AVOIDED_FACTOR;
        }
        return cost;
    }
}
