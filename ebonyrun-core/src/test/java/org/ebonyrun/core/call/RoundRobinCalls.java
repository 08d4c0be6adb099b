package org.ebonyrun.core.call;

import java.util.HashMap;
import java.util.Map;
import org.ebonyrun.core.fleet.Endpoint;

/** A baseline: each endpoint in turn, all its slots for any call. */
final class RoundRobinCalls implements CallPlacement {
    private final Map<String, Long> mSentAt = new HashMap<>();
    private long mSent;

    @Override
    public int room(Endpoint endpoint, boolean background) {
        return endpoint.record().slots();
    }

    @Override
    public double cost(Endpoint endpoint, boolean tried, long now) {
        return mSentAt.getOrDefault(endpoint.id(), 0L);
    }

    @Override
    public void onSent(Endpoint endpoint) {
        mSentAt.put(endpoint.id(), ++mSent);
    }
}
