package org.ebonyrun.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.base.time.Nanos;
import org.jspecify.annotations.Nullable;

/**
 * One incarnation of an endpoint, with its newest record and what this process observed of it.
 *
 * <p>Invariant: the weight version of a model never decreases within one incarnation. An older
 * version comes from a record that was written before a response that this process has seen.
 *
 * <p>Not thread safe; confined to the event loop that owns the fleet.
 */
public final class Endpoint {
    private static final long FIRST_BACKOFF_NANOS = Nanos.ofMillis(400);
    private static final long MAX_BACKOFF_NANOS = Nanos.ofMillis(3_000);
    // Time between two probes of an endpoint with outdated weights.
    private static final long PROBE_INTERVAL_NANOS = Nanos.ofMillis(120);
    // A latency sample counts as at most this multiple of the smoothed latency.
    private static final double MAX_LATENCY_FACTOR = 3;
    private static final double SMOOTHING = 0.2;

    private EndpointRecord mRecord;
    private final Map<String, Integer> mVersions = new HashMap<>();
    private int mActiveRequests;
    private int mActiveCalls;
    private long mSentCalls;
    private long mSentRuns;
    private int mConsecutiveFailures;
    private long mAvoidUntil;
    private boolean mAvoiding;
    private boolean mRemoved;
    private boolean mLeaving;
    private double mLatencyNanos;
    private long mLatencyMeasuredAt;
    private boolean mLoading;
    private long mLastReceivedAt;
    private boolean mProbed;
    private long mLastProbeAt;
    private double mLimit = Double.POSITIVE_INFINITY;
    private long mLimitNamedAt;
    private long mRequestCount;
    private @Nullable RequestGate mGate;

    Endpoint(EndpointRecord record) {
        mRecord = record;
        mVersions.putAll(record.versions());
    }

    /** Returns the newest record. */
    public EndpointRecord record() {
        return mRecord;
    }

    /** Returns the ID. */
    public String id() {
        return mRecord.id();
    }

    void update(EndpointRecord record) {
        mRecord = record;
        record.versions().forEach(this::observeVersion);
    }

    void setRemoved(boolean removed) {
        mRemoved = removed;
    }

    /** Marks the endpoint as leaving, whatever its record says. */
    void setLeaving() {
        mLeaving = true;
    }

    /** Returns whether the endpoint accepts new work: it is neither removed nor leaving. */
    public boolean isServing() {
        return !mRemoved && !mLeaving && !mRecord.leaving();
    }

    /** Returns whether the endpoint is in backoff after failures or a rejection. */
    public boolean isAvoided(long now) {
        return mAvoiding && now - mAvoidUntil < 0;
    }

    /** Returns the number of requests of this process that are open at the endpoint. */
    public int activeRequests() {
        return mActiveRequests;
    }

    /** Handles the sending of a run, which is open until {@link #onEnded}. */
    public void onSent(long now) {
        mSentRuns++;
        onOpened(now);
    }

    private void onOpened(long now) {
        mActiveRequests++;
        onRequestSent(now);
    }

    /** Returns the number of calls that this process has sent to the endpoint. */
    public long sentCalls() {
        return mSentCalls;
    }

    /** Returns the number of runs of samples that this process has sent to the endpoint. */
    public long sentRuns() {
        return mSentRuns;
    }

    /** Returns the number of calls among the open requests. */
    public int activeCalls() {
        return mActiveCalls;
    }

    /** Handles the sending of a call, which is open until {@link #onCallEnded}. */
    public void onCallSent(long now) {
        mActiveCalls++;
        mSentCalls++;
        onOpened(now);
    }

    /** Handles the end of a call, successful or not. */
    public void onCallEnded() {
        mActiveCalls = Math.max(0, mActiveCalls - 1);
        onEnded();
    }

    /** Handles the sending of any request, also of one that is not counted as open. */
    public void onRequestSent(long now) {
        mRequestCount++;
        if (mGate != null) {
            mGate.onSent(now);
        }
    }

    /** Sets what admits requests to this endpoint; null admits all. */
    public void setGate(@Nullable RequestGate gate) {
        mGate = gate;
    }

    /** Returns what admits requests to this endpoint; null if all are admitted. */
    public @Nullable RequestGate gate() {
        return mGate;
    }

    /** Returns whether the limit of this endpoint, if it has one, admits a request now. */
    public boolean admits(RequestKind kind, long now) {
        return mGate == null || mGate.admits(kind, now);
    }

    /** Handles a request that could be sent if the limit of this endpoint admitted it. */
    public void onWaiting(RequestKind kind, long now) {
        if (mGate != null) {
            mGate.onWaiting(kind, now);
        }
    }

    /** Returns the number of requests that this process has sent to the endpoint. */
    public long requestCount() {
        return mRequestCount;
    }

    /** Returns whether the endpoint names a limit. */
    public boolean isLimited() {
        return Double.isFinite(mLimit);
    }

    /**
     * Returns how many requests per second the endpoint takes from all entries together; infinite
     * if it names no limit.
     */
    public double requestsPerSecond() {
        return mLimit;
    }

    /**
     * Handles what a response of this endpoint says about its limit.
     *
     * <p>A response without a limit ends it only if its request was sent after the last response
     * that named one had arrived; an earlier request may have been answered before.
     *
     * @param sentAt when the request of that response was sent
     * @return whether the limit changed
     */
    boolean onLimitNotice(LimitNotice notice, long sentAt, long now) {
        if (!notice.known()) {
            return false;
        }
        if (notice.isLimit()) {
            mLimitNamedAt = now;
        } else if (Double.isFinite(mLimit) && sentAt - mLimitNamedAt < 0) {
            return false;
        }
        boolean changed = mLimit != notice.requestsPerSecond();
        mLimit = notice.requestsPerSecond();
        return changed;
    }

    /** Handles the end of a request, successful or not. */
    public void onEnded() {
        mActiveRequests = Math.max(0, mActiveRequests - 1);
    }

    /** Handles a sign that the endpoint works, which ends the backoff. */
    public void onReachable() {
        mConsecutiveFailures = 0;
        mAvoiding = false;
    }

    /** Handles a failure to reach the endpoint or to get its response; backs off exponentially. */
    public void onFailure(long now) {
        mConsecutiveFailures++;
        long backoff = FIRST_BACKOFF_NANOS << Math.min(4, mConsecutiveFailures - 1);
        mAvoidUntil = now + Math.min(MAX_BACKOFF_NANOS, backoff);
        mAvoiding = true;
    }

    /** Avoids the endpoint for a time, for example while it is full. Never shortens a backoff. */
    public void avoidFor(long nanos, long now) {
        if (!isAvoided(now) || mAvoidUntil - now < nanos) {
            mAvoidUntil = now + nanos;
            mAvoiding = true;
        }
    }

    /** Records a weight version that the endpoint reported; an older one is ignored. */
    public void observeVersion(String model, int version) {
        mVersions.merge(model, version, Math::max);
    }

    /** Returns the models whose version is known. */
    public Set<String> models() {
        return Set.copyOf(mVersions.keySet());
    }

    /** Returns the weight version of a model; zero if unknown. */
    public int version(String model) {
        return mVersions.getOrDefault(model, 0);
    }

    /** Handles the arrival of any message from the endpoint. */
    public void onReceived(long now) {
        mLastReceivedAt = now;
    }

    /** Returns the time since the last message from the endpoint, in nanoseconds. */
    public long silentNanos(long now) {
        return now - mLastReceivedAt;
    }

    /**
     * Records a latency: the time between two events of a stream, or the time until a call is
     * answered, in nanoseconds. A long one counts only in part, because a single stream may have
     * been paused in favour of others.
     */
    public void recordLatency(double nanos, long now) {
        double capped =
                mLatencyNanos == 0 ? nanos : Math.min(nanos, MAX_LATENCY_FACTOR * mLatencyNanos);
        mLatencyNanos =
                mLatencyNanos == 0 ? capped : mLatencyNanos + SMOOTHING * (capped - mLatencyNanos);
        mLatencyMeasuredAt = now;
    }

    /**
     * Returns the smoothed latency (see {@link #recordLatency}), in nanoseconds; zero if unknown.
     */
    public double latencyNanos() {
        return mLatencyNanos;
    }

    /**
     * Discards a latency that was last measured too long ago, so that the endpoint is used again.
     */
    public void expireLatency(long now, long maxAgeNanos) {
        if (mLatencyNanos != 0 && now - mLatencyMeasuredAt > maxAgeNanos) {
            mLatencyNanos = 0;
        }
    }

    /**
     * Returns whether an endpoint with outdated weights may be probed now, and if so, records the
     * probe.
     */
    public boolean startProbeIfDue(long now) {
        if (mProbed && now - mLastProbeAt < PROBE_INTERVAL_NANOS) {
            return false;
        }
        mProbed = true;
        mLastProbeAt = now;
        return true;
    }

    /** Records whether a load that this process ordered is in progress at the endpoint. */
    public void setLoading(boolean loading) {
        mLoading = loading;
    }

    /** Returns whether a load that this process ordered is in progress at the endpoint. */
    public boolean isLoading() {
        return mLoading;
    }
}
