package org.ebonyrun.core.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts turns for round-robin placement.
 *
 * <p>Not thread safe; confined to the event loop that owns the fleet.
 */
public final class RoundRobinTurns {
    private final Map<String, Long> mLastTurns = new HashMap<>();
    private long mTurn;

    /** Returns the turn in which an endpoint was last used; zero if it was never used. */
    public long lastTurn(Endpoint endpoint) {
        return mLastTurns.getOrDefault(endpoint.id(), 0L);
    }

    /** Records that an endpoint takes the next turn. */
    public void onSent(Endpoint endpoint) {
        mLastTurns.put(endpoint.id(), ++mTurn);
    }
}
