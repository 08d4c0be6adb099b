package org.ebonyrun.core.call;

import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Turns;

/**
 * A baseline: each endpoint in turn.
 *
 * <p>Not thread safe; confined to the duty of its machine.
 */
final class RoundRobinCalls implements CallPlacement {
    private final Turns mTurns = new Turns();
    private final double mBackgroundShare;

    /**
     * Creates a placement.
     *
     * @param backgroundShare the part of an endpoint's slots that background calls may use
     */
    RoundRobinCalls(double backgroundShare) {
        mBackgroundShare = backgroundShare;
    }

    @Override
    public int room(Endpoint endpoint, boolean background) {
        return CallPlacement.room(endpoint, background, mBackgroundShare);
    }

    @Override
    public double cost(Endpoint endpoint, boolean tried, long now) {
        return mTurns.of(endpoint);
    }

    @Override
    public void onSent(Endpoint endpoint) {
        mTurns.onSent(endpoint);
    }
}
