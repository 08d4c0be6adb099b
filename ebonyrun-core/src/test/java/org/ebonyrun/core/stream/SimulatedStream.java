package org.ebonyrun.core.stream;

import java.util.Set;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.jspecify.annotations.Nullable;

/** A stream of a simulated caller. */
final class SimulatedStream {
    private static final long CALLER_WAITS_NANOS = Nanos.ofMillis(12_000);

    /**
     * A stream whose entry was killed.
     *
     * @param ageNanos how long the stream had run then
     * @param survived whether its caller got the rest of it
     */
    record Killed(long ageNanos, boolean survived) {}

    final StreamId mId;
    final Set<ServiceName> mServices;
    final boolean mIsNamed;
    final long mBegunAt;
    final long mExpiresAt;
    @Nullable StreamOrigin mOrigin;
    boolean mKilled;
    boolean mDisturbed;
    boolean mSurvived;
    long mAgeAtKill;
    int mTries;

    SimulatedStream(StreamId id, Set<ServiceName> services, boolean isNamed, long now) {
        mId = id;
        mServices = services;
        mIsNamed = isNamed;
        mBegunAt = now;
        mExpiresAt = now + CALLER_WAITS_NANOS;
    }
}
