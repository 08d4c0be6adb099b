package org.ebonyrun.core.call;

import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Turns;

/** A baseline: each endpoint in turn, all its slots for any call. */
final class RoundRobinCalls implements CallPlacement {
    private final Turns mTurns = new Turns();

    @Override
    public int room(Endpoint endpoint, boolean background) {
        return endpoint.record().slots();
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
