package org.ebonyrun.core.call;

import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.RoundRobinTurns;

/**
 * A baseline: each endpoint in turn.
 *
 * <p>Not thread safe; confined to the duty of its machine.
 */
final class RoundRobinCallPlacement implements CallPlacement {
    private final RoundRobinTurns mTurns = new RoundRobinTurns();
    private final double mBackgroundShare;

    /**
     * Creates a placement.
     *
     * @param backgroundShare the part of an endpoint's slots that background calls may use
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
