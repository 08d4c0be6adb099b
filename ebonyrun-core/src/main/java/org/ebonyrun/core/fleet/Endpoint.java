package org.ebonyrun.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.base.time.Nanos;

/**
 * One incarnation of an endpoint, as this process knows it.
 *
 * <p>Invariant: the weight version of a model never falls within one incarnation, because the
 * endpoint's record may be older than an answer that was seen.
 *
 * <p>Not thread safe; confined to the duty that owns the fleet.
 */
public final class Endpoint {
    private static final long FIRST_BACKOFF_NANOS = Nanos.ofMillis(400);
    private static final long MAX_BACKOFF_NANOS = Nanos.ofMillis(3_000);
    // Time between two tries of an endpoint that had outdated weights.
    private static final long TRY_NANOS = Nanos.ofMillis(120);
    private static final double MAX_GAP = 3;
    private static final double SMOOTHING = 0.2;

    private EndpointRecord mRecord;
    private final Map<String, Integer> mVersions = new HashMap<>();
    private int mActive;
    private int mFailures;
    private long mAvoidUntil;
    private boolean mAvoiding;
    private boolean mGone;
    private double mPaceNanos;
    private long mPaceAt;
    private boolean mLoading;
    private long mSignAt;
    private boolean mTried;
    private long mTriedAt;

    Endpoint(EndpointRecord record) {
        mRecord = record;
        mVersions.putAll(record.versions());
    }

    /** Returns the newest record. */
    public EndpointRecord record() {
        return mRecord;
    }

    /** Returns the id. */
    public String id() {
        return mRecord.id();
    }

    void update(EndpointRecord record) {
        mRecord = record;
        record.versions().forEach(this::observeVersion);
    }

    void setRemoved(boolean gone) {
        mGone = gone;
    }

    /** Returns whether the endpoint may be given new work. */
    public boolean isServing() {
        return !mGone && !mRecord.leaving();
    }

    /** Returns whether recent failures speak against the endpoint. */
    public boolean isAvoided(long now) {
        return mAvoiding && now - mAvoidUntil < 0;
    }

    /** Returns how many requests this process has there. */
    public int activeRequests() {
        return mActive;
    }

    /** Notes that a request was sent. */
    public void onSent() {
        mActive++;
    }

    /** Notes that a request has ended in whatever way. */
    public void onEnded() {
        mActive = Math.max(0, mActive - 1);
    }

    /** Notes a sign of life. */
    public void onReachable() {
        mFailures = 0;
        mAvoiding = false;
    }

    /** Notes that the endpoint could not be reached or fell silent. */
    public void onFailure(long now) {
        mFailures++;
        long backoff = FIRST_BACKOFF_NANOS << Math.min(4, mFailures - 1);
        mAvoidUntil = now + Math.min(MAX_BACKOFF_NANOS, backoff);
        mAvoiding = true;
    }

    /** Keeps work away for a time, for example while the endpoint is full. */
    public void avoidFor(long nanos, long now) {
        if (!isAvoided(now) || mAvoidUntil - now < nanos) {
            mAvoidUntil = now + nanos;
            mAvoiding = true;
        }
    }

    /** Notes a weight version that the endpoint showed; an older one is ignored. */
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

    /** Notes that something arrived from the endpoint. */
    public void onReceived(long now) {
        mSignAt = now;
    }

    /** Returns how long nothing has arrived from the endpoint, in nanoseconds. */
    public long silentNanos(long now) {
        return now - mSignAt;
    }

    /**
     * Notes the time between two events of one stream, in nanoseconds. A long gap counts in part:
     * it may be that of one stream that gave way to others.
     */
    public void recordLatency(double nanos, long now) {
        double counted = mPaceNanos == 0 ? nanos : Math.min(nanos, MAX_GAP * mPaceNanos);
        mPaceNanos = mPaceNanos == 0 ? counted : mPaceNanos + SMOOTHING * (counted - mPaceNanos);
        mPaceAt = now;
    }

    /**
     * Returns the smoothed time between two events of a stream, in nanoseconds; zero if unknown.
     */
    public double latencyNanos() {
        return mPaceNanos;
    }

    /**
     * Forgets a pace that has not been measured for a time, so that the endpoint is tried again.
     */
    public void expireLatency(long now, long maxAgeNanos) {
        if (mPaceNanos != 0 && now - mPaceAt > maxAgeNanos) {
            mPaceNanos = 0;
        }
    }

    /** Returns whether an endpoint with outdated weights may be tried now, and notes the try. */
    public boolean startProbeIfDue(long now) {
        if (mTried && now - mTriedAt < TRY_NANOS) {
            return false;
        }
        mTried = true;
        mTriedAt = now;
        return true;
    }

    /** Marks the endpoint as busy with an order of this process, or as done with it. */
    public void setLoading(boolean loading) {
        mLoading = loading;
    }

    /** Returns whether an order of this process keeps the endpoint busy. */
    public boolean isLoading() {
        return mLoading;
    }
}
