package org.ebonyrun.core.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts turns for baselines that use each endpoint in turn.
 *
 * <p>Not thread safe; confined to the duty that owns the fleet.
 */
public final class RoundRobinTurns {
    private final Map<String, Long> mSentAt = new HashMap<>();
    private long mSent;

    /** Returns the turn in which an endpoint was last used; zero if it was not. */
    public long lastTurn(Endpoint endpoint) {
        return mSentAt.getOrDefault(endpoint.id(), 0L);
    }

    /** Notes that an endpoint is used. */
    public void onSent(Endpoint endpoint) {
        mSentAt.put(endpoint.id(), ++mSent);
    }
}
