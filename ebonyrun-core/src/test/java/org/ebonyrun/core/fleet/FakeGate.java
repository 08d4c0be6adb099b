package org.ebonyrun.core.fleet;

/** A gate whose answers a test sets. */
public final class FakeGate implements RequestGate {
    /** How many more requests are admitted. */
    public int mAdmitted;

    /** The expected time until the next admission, in nanoseconds. */
    public long mWaitNanos = Long.MAX_VALUE;

    /** What this process may send, and its share, in requests per second. */
    public double mPerSecond = 1;

    /** The number of requests that waited. */
    public int mWaiting;

    @Override
    public boolean admits(RequestKind kind, long now) {
        return mAdmitted > 0;
    }

    @Override
    public void onSent(long now) {
        mAdmitted--;
    }

    @Override
    public void onWaiting(RequestKind kind, long now) {
        mWaiting++;
    }

    @Override
    public long expectedWaitNanos(long now) {
        return mAdmitted > 0 ? 0 : mWaitNanos;
    }

    @Override
    public double admittedPerSecond() {
        return mPerSecond;
    }

    @Override
    public double sharePerSecond() {
        return mPerSecond;
    }
}
