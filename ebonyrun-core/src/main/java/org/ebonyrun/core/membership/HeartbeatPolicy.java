package org.ebonyrun.core.membership;

import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.jspecify.annotations.Nullable;

/**
 * Decides when an agent sends a heartbeat to all its entries: when what it reports has changed, but
 * not too often, and otherwise just often enough to be known as alive.
 *
 * <p>Not thread safe; confined to the attempt duty.
 */
public final class HeartbeatPolicy {
    /** Least time between heartbeats whose report has changed, in nanoseconds. */
    public static final long CHANGED_INTERVAL_NANOS = Nanos.ofMillis(500);

    /** Time between heartbeats whose report is the same, in nanoseconds. */
    public static final long UNCHANGED_INTERVAL_NANOS = Nanos.ofMillis(1_000);

    private @Nullable EndpointLoad mSent;
    private long mSentAt;

    /** Creates a policy for an agent that has sent nothing. */
    public HeartbeatPolicy() {}

    /** Returns whether a heartbeat is due, and if so takes it for sent. */
    public boolean markSentIfDue(EndpointLoad load, long now) {
        EndpointLoad sent = mSent;
        boolean urgent =
                sent == null
                        || load.leaving() != sent.leaving()
                        || load.version() != sent.version()
                        || load.slots() != sent.slots();
        long pause = load.equals(sent) ? UNCHANGED_INTERVAL_NANOS : CHANGED_INTERVAL_NANOS;
        if (!urgent && now - mSentAt < pause) {
            return false;
        }
        mSent = load;
        mSentAt = now;
        return true;
    }
}
