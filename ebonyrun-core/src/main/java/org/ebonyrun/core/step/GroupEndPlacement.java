package org.ebonyrun.core.step;

import org.ebonyrun.core.fleet.Endpoint;

/**
 * Spreads samples over all endpoints, but gives those for which their group would wait to fast
 * ones.
 *
 * <p>Designed for pools in which some endpoints are several times slower than others: a short
 * sample costs nothing at a slow endpoint as long as a longer one of its group runs, and leaves a
 * place at a fast endpoint to that one. Concurrency is proportional to speed.
 *
 * <p>Not thread safe; confined to the event loop of its {@link StepMachine}.
 */
final class GroupEndPlacement implements SamplePlacement {
    private final SpeedProportionalPlacement mSpeedProportional = new SpeedProportionalPlacement();
    private final GroupForecast mForecast;

    GroupEndPlacement(GroupForecast forecast) {
        mForecast = forecast;
    }

    @Override
    public int concurrencyLimit(Endpoint endpoint, double bestLatency) {
        return mSpeedProportional.concurrencyLimit(endpoint, bestLatency);
    }

    @Override
    public double cost(Endpoint endpoint, SampleProgress sample, double bestLatency) {
        double start = mForecast.startNanos(sample);
        if (!mForecast.predictsLength(sample) || start == 0 || bestLatency == 0) {
            return mSpeedProportional.cost(endpoint, sample, bestLatency);
        }
        double latency = Math.max(bestLatency, endpoint.latencyNanos());
        double late =
                mForecast.endIfSent(sample, latency)
                        - mForecast.earliestGroupEnd(sample, bestLatency);
        double fill = (endpoint.activeRequests() + 1.0) / endpoint.record().slots();
        double cost = fill + Math.max(0, late) / (MigrationGain.MIN_GAIN_OF_START * start);
        return sample.wasTriedAt(endpoint) ? cost + 1 : cost;
    }
}
