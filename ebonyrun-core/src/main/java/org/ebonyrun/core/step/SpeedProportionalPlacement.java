package org.ebonyrun.core.step;

import org.ebonyrun.core.fleet.Endpoint;

/**
 * Gives each endpoint samples in proportion to its pace.
 *
 * <p>Answers the load of a pool in which some endpoints are several times slower than others.
 * Immutable and thread safe.
 */
final class SpeedProportionalPlacement implements SamplePlacement {
    // How much slower than the best pace still earns all slots.
    private static final double TOLERANCE = 1.3;

    /** Returns whether an endpoint is about as fast as the best one. */
    static boolean isFast(Endpoint endpoint, double bestPace) {
        return endpoint.latencyNanos() > 0 && endpoint.latencyNanos() < TOLERANCE * bestPace;
    }

    @Override
    public int concurrencyLimit(Endpoint endpoint, double bestPace) {
        int slots = endpoint.record().slots();
        if (endpoint.latencyNanos() == 0 || bestPace == 0) {
            return slots;
        }
        double share = Math.min(1, TOLERANCE * bestPace / endpoint.latencyNanos());
        return Math.max(1, (int) Math.round(share * slots));
    }

    @Override
    public double cost(Endpoint endpoint, SampleProgress sample, double bestPace) {
        double pace =
                endpoint.latencyNanos() == 0 ? 1 : endpoint.latencyNanos() / Math.max(1, bestPace);
        double cost =
                (endpoint.activeRequests() + 1.0) / endpoint.record().slots() * Math.max(1, pace);
        return endpoint.id().equals(sample.mLastEndpointId) ? cost + 1 : cost;
    }
}
