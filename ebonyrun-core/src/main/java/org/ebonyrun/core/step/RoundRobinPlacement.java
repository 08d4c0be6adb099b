package org.ebonyrun.core.step;

import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.RoundRobinTurns;

/**
 * A baseline: each endpoint in turn, all its slots.
 *
 * <p>Not thread safe; confined to the duty of its machine.
 */
final class RoundRobinPlacement implements SamplePlacement {
    private final RoundRobinTurns mTurns = new RoundRobinTurns();

    @Override
    public int concurrencyLimit(Endpoint endpoint, double bestPace) {
        return endpoint.record().slots();
    }

    @Override
    public double cost(Endpoint endpoint, SampleProgress sample, double bestPace) {
        return mTurns.lastTurn(endpoint);
    }

    @Override
    public void onSent(Endpoint endpoint) {
        mTurns.onSent(endpoint);
    }
}
