package org.ebonyrun.core.call;

import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.RoundRobinTurns;

/**
 * Places calls on endpoints in turn. Serves as the baseline for {@link LowestLatencyPlacement}.
 *
 * <p>Not thread safe; confined to the event loop of its {@link CallMachine}.
 */
final class RoundRobinCallPlacement implements CallPlacement {
    private final RoundRobinTurns mTurns = new RoundRobinTurns();
    private final double mBackgroundShare;

    /**
     * Creates a placement.
     *
     * @param backgroundShare the fraction of an endpoint's slots that background calls may use
     */
    RoundRobinCallPlacement(double backgroundShare) {
        mBackgroundShare = backgroundShare;
    }

    @Override
    public int concurrencyLimit(Endpoint endpoint, boolean background) {
        return CallPlacement.concurrencyLimit(endpoint, background, mBackgroundShare);
    }

    @Override
    public double cost(Endpoint endpoint, boolean tried, long now) {
        return mTurns.lastTurn(endpoint);
    }

    @Override
    public void onSent(Endpoint endpoint) {
        mTurns.onSent(endpoint);
    }
}
