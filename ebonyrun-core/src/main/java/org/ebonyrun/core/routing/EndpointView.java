package org.ebonyrun.core.routing;

import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.EndpointLoad;

/**
 * An entry's view of one endpoint: its last reported load, plus the work that the entry has sent to
 * it since that report.
 *
 * <p>Not thread safe; confined to the dispatch event loop.
 */
public final class EndpointView {
    private static final long MEASUREMENT_EXPIRY_NANOS = Nanos.ofMillis(10_000);
    private static final double SMOOTHING_FACTOR = 0.1;

    private final VmId mVm;
    private final ServiceName mService;
    private final FailureDomain mDomain;
    private EndpointLoad mLoad = EndpointLoad.unknown();
    private boolean mUsable;
    private int mCallsSinceLoad;
    private int mSamplesSinceLoad;
    private double mMillisPerToken;
    private long mMeasuredAt;

    private EndpointView(VmId vm, ServiceName service, FailureDomain domain) {
        mVm = vm;
        mService = service;
        mDomain = domain;
    }

    /** Creates the view of an endpoint that has not reported its load. */
    public static EndpointView create(VmId vm, ServiceName service, FailureDomain domain) {
        return new EndpointView(vm, service, domain);
    }

    /** Returns the VM of the endpoint. */
    public VmId vm() {
        return mVm;
    }

    /** Returns the service that the endpoint runs. */
    public ServiceName service() {
        return mService;
    }

    /** Returns the failure domain of the endpoint. */
    public FailureDomain failureDomain() {
        return mDomain;
    }

    /** Returns the last reported load. */
    public EndpointLoad load() {
        return mLoad;
    }

    /** Returns whether the endpoint may get new work. */
    public boolean isUsable() {
        return mUsable && !mLoad.leaving() && mLoad.slots() > 0;
    }

    /** Returns the estimated number of calls that would start immediately; may be negative. */
    public int freeSlots() {
        return mLoad.freeSlots() - mCallsSinceLoad - mSamplesSinceLoad;
    }

    /** Returns the estimated number of samples that would be accepted; may be negative. */
    public int sampleRoom() {
        return mLoad.sampleRoom() - mCallsSinceLoad - mSamplesSinceLoad;
    }

    /**
     * Returns the estimated number of samples that would be accepted; may be negative.
     *
     * @param urgent whether the target of the samples has passed
     */
    public int sampleRoom(boolean urgent) {
        int urgentRoom = mLoad.urgentRoom() - mSamplesSinceLoad;
        return urgent ? Math.max(sampleRoom(), urgentRoom) : sampleRoom();
    }

    /**
     * Returns the moving average of the time per generated token in milliseconds, including waiting
     * and prompt processing; zero if there is no recent measurement.
     */
    public double millisPerToken(long now) {
        return now - mMeasuredAt < MEASUREMENT_EXPIRY_NANOS ? mMillisPerToken : 0;
    }

    /** Records an attempt that generated {@code tokens} tokens in {@code nanos} nanoseconds. */
    void recordLatency(int tokens, long nanos, long now) {
        if (tokens <= 0) {
            return;
        }
        double measured = (double) nanos / Nanos.PER_MILLI / tokens;
        boolean hasAverage = millisPerToken(now) > 0;
        mMillisPerToken =
                hasAverage
                        ? mMillisPerToken * (1 - SMOOTHING_FACTOR) + measured * SMOOTHING_FACTOR
                        : measured;
        mMeasuredAt = now;
    }

    void setUsable(boolean usable) {
        mUsable = usable;
    }

    void onLoad(EndpointLoad load) {
        mLoad = load;
        mCallsSinceLoad = 0;
        mSamplesSinceLoad = 0;
    }

    void onSent(boolean sample) {
        if (sample) {
            mSamplesSinceLoad++;
        } else {
            mCallsSinceLoad++;
        }
    }
}
