package org.ebonyrun.core.step;

import java.util.HashMap;
import java.util.Map;
import org.ebonyrun.core.fleet.Endpoint;

/** A baseline: each endpoint in turn, all its slots. */
final class RoundRobinPlacement implements SamplePlacement {
    private final Map<String, Long> mSentAt = new HashMap<>();
    private long mSent;

    @Override
    public int room(Endpoint endpoint, double bestPace) {
        return endpoint.record().slots();
    }

    @Override
    public double cost(Endpoint endpoint, SampleRun sample, double bestPace) {
        return mSentAt.getOrDefault(endpoint.id(), 0L);
    }

    @Override
    public void onSent(Endpoint endpoint) {
        mSentAt.put(endpoint.id(), ++mSent);
    }
}
