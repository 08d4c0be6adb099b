package org.ebonyrun.core.membership;

import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.jspecify.annotations.Nullable;

/**
 * Decides when an agent sends a heartbeat to all its entries: soon after the reported load has
 * changed, with a limited rate, and otherwise just often enough for the entries to regard the agent
 * as alive. A change of the weight version, of the slots or of {@code leaving} is sent at once.
 *
 * <p>Not thread safe; confined to the attempt event loop.
 */
public final class HeartbeatPolicy {
    /** Minimum interval between heartbeats if the load has changed, in nanoseconds. */
    public static final long CHANGED_INTERVAL_NANOS = Nanos.ofMillis(500);

    /** Interval between heartbeats if the load is the same, in nanoseconds. */
    public static final long UNCHANGED_INTERVAL_NANOS = Nanos.ofMillis(1_000);

    private @Nullable EndpointLoad mLastSent;
    private long mLastSentAt;

    /** Creates a policy for an agent that has sent no heartbeat yet. */
    public HeartbeatPolicy() {}

    /** Returns whether a heartbeat is due. If so, records it as sent. */
    public boolean markSentIfDue(EndpointLoad load, long now) {
        EndpointLoad lastSent = mLastSent;
        boolean urgent =
                lastSent == null
                        || load.leaving() != lastSent.leaving()
                        || load.version() != lastSent.version()
                        || load.slots() != lastSent.slots();
        long interval = load.equals(lastSent) ? UNCHANGED_INTERVAL_NANOS : CHANGED_INTERVAL_NANOS;
        if (!urgent && now - mLastSentAt < interval) {
            return false;
        }
        mLastSent = load;
        mLastSentAt = now;
        return true;
    }
}
