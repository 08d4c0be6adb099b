package org.ebonyrun.core.step;

import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Turns;

/**
 * A baseline: each endpoint in turn, all its slots.
 *
 * <p>Not thread safe; confined to the duty of its machine.
 */
final class RoundRobinPlacement implements SamplePlacement {
    private final Turns mTurns = new Turns();

    @Override
    public int concurrencyLimit(Endpoint endpoint, double bestPace) {
        return endpoint.record().slots();
    }

    @Override
    public double cost(Endpoint endpoint, SampleProgress sample, double bestPace) {
        return mTurns.of(endpoint);
    }

    @Override
    public void onSent(Endpoint endpoint) {
        mTurns.onSent(endpoint);
    }
}
