package org.ebonyrun.core.step;

import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.RoundRobinTurns;

/**
 * Baseline placement: endpoints in turn, each up to its number of slots.
 *
 * <p>Not thread safe; confined to the event loop of its {@link StepMachine}.
 */
final class RoundRobinSamplePlacement implements SamplePlacement {
    private final RoundRobinTurns mTurns = new RoundRobinTurns();

    @Override
    public int concurrencyLimit(Endpoint endpoint, double bestLatency) {
        return endpoint.record().slots();
    }

    @Override
    public double cost(Endpoint endpoint, SampleProgress sample, double bestLatency) {
        return mTurns.lastTurn(endpoint);
    }

    @Override
    public void onSent(Endpoint endpoint) {
        mTurns.onSent(endpoint);
    }
}
