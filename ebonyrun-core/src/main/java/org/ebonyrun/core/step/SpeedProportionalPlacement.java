package org.ebonyrun.core.step;

import org.ebonyrun.core.fleet.Endpoint;

/**
 * Gives each endpoint samples in proportion to its speed.
 *
 * <p>Designed for pools in which some endpoints are several times slower than others. Immutable and
 * thread safe.
 */
final class SpeedProportionalPlacement implements SamplePlacement {
    // Endpoints that are slower than the fastest one by at most this factor may use all slots.
    private static final double FAST_FACTOR = 1.3;

    /** Returns whether an endpoint is about as fast as the fastest one. */
    static boolean isFast(Endpoint endpoint, double bestLatency) {
        return endpoint.latencyNanos() > 0 && endpoint.latencyNanos() < FAST_FACTOR * bestLatency;
    }

    @Override
    public int concurrencyLimit(Endpoint endpoint, double bestLatency) {
        int slots = endpoint.record().slots();
        if (endpoint.latencyNanos() == 0 || bestLatency == 0) {
            return slots;
        }
        double share = Math.min(1, FAST_FACTOR * bestLatency / endpoint.latencyNanos());
        return Math.max(1, (int) Math.round(share * slots));
    }

    @Override
    public double cost(Endpoint endpoint, SampleProgress sample, double bestLatency) {
        double slowdown =
                endpoint.latencyNanos() == 0
                        ? 1
                        : endpoint.latencyNanos() / Math.max(1, bestLatency);
        double cost =
                (endpoint.activeRequests() + 1.0)
                        / endpoint.record().slots()
                        * Math.max(1, slowdown);
        return sample.wasTriedAt(endpoint) ? cost + 1 : cost;
    }
}
