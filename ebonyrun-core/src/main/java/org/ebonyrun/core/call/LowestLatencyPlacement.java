package org.ebonyrun.core.call;

import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;

/**
 * Places a call on the endpoint with the lowest expected latency, prefers the process's own failure
 * domain between endpoints of about the same latency, and limits the slots of background calls.
 *
 * <p>Some endpoints of a service may be slow or failing; this keeps short calls away from them.
 * Immutable and thread safe.
 */
public final class LowestLatencyPlacement implements CallPlacement {
    private static final double REMOTE_DOMAIN_FACTOR = 1.15;
    private static final double TRIED_FACTOR = 4;
    private static final double AVOIDED_FACTOR = 1_000;
    private static final long DEFAULT_LATENCY_NANOS = Nanos.ofMillis(30);

    private final FailureDomain mDomain;
    private final double mBackgroundShare;
    private final double mRemoteFactor;

    private LowestLatencyPlacement(
            FailureDomain domain, double backgroundShare, double remoteFactor) {
        mDomain = domain;
        mRemoteFactor = remoteFactor;
        mBackgroundShare = backgroundShare;
    }

    /** Creates a placement that prefers endpoints in a failure domain. */
    static LowestLatencyPlacement preferringDomain(FailureDomain domain, double backgroundShare) {
        return new LowestLatencyPlacement(domain, backgroundShare, REMOTE_DOMAIN_FACTOR);
    }

    /** Creates a placement that treats all failure domains alike. */
    static LowestLatencyPlacement ignoringDomains(double backgroundShare) {
        return new LowestLatencyPlacement(FailureDomain.of("any"), backgroundShare, 1);
    }

    /** Returns the expected latency of an endpoint, in nanoseconds. */
    static double expectedLatencyNanos(Endpoint endpoint) {
        return endpoint.latencyNanos() == 0 ? DEFAULT_LATENCY_NANOS : endpoint.latencyNanos();
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
