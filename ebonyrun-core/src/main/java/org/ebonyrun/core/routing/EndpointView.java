package org.ebonyrun.core.routing;

import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.EndpointLoad;

/**
 * What an entry knows of one endpoint. Load is as old as the last message; what was sent since is
 * added to it.
 *
 * <p>Not thread safe; confined to the dispatch duty.
 */
public final class EndpointView {
    private static final long MEASURE_NANOS = Nanos.ofMillis(10_000);
    private static final double NEW_SHARE = 0.1;

    private final VmId mVm;
    private final ServiceName mService;
    private final FailureDomain mDomain;
    private EndpointLoad mLoad = EndpointLoad.unknown();
    private boolean mUsable;
    private int mCallsSince;
    private int mSamplesSince;
    private double mMillisPerToken;
    private long mMeasuredAt;

    private EndpointView(VmId vm, ServiceName service, FailureDomain domain) {
        mVm = vm;
        mService = service;
        mDomain = domain;
    }

    /** Creates the view of an endpoint that has reported nothing. */
    public static EndpointView create(VmId vm, ServiceName service, FailureDomain domain) {
        return new EndpointView(vm, service, domain);
    }

    /** Returns the endpoint's VM. */
    public VmId vm() {
        return mVm;
    }

    /** Returns the endpoint's service. */
    public ServiceName service() {
        return mService;
    }

    /** Returns where the endpoint runs. */
    public FailureDomain failureDomain() {
        return mDomain;
    }

    /** Returns the newest report. */
    public EndpointLoad load() {
        return mLoad;
    }

    /** Returns whether the endpoint may get new work. */
    public boolean isUsable() {
        return mUsable && !mLoad.leaving() && mLoad.slots() > 0;
    }

    /** Returns how many calls would start at once, by what is known here. */
    public int freeSlots() {
        return mLoad.freeSlots() - mCallsSince - mSamplesSince;
    }

    /** Returns how many samples would be taken, by what is known here. */
    public int sampleRoom() {
        return mLoad.sampleRoom() - mCallsSince - mSamplesSince;
    }

    /**
     * Returns how many samples would be taken, by what is known here.
     *
     * @param urgent whether the target of the samples has passed
     */
    public int sampleRoom(boolean urgent) {
        int urgentRoom = mLoad.urgentRoom() - mSamplesSince;
        return urgent ? Math.max(sampleRoom(), urgentRoom) : sampleRoom();
    }

    /**
     * Returns the recent time for a generated token in milliseconds, waiting and prompt included;
     * zero while nothing recent is known.
     */
    public double millisPerToken(long now) {
        return now - mMeasuredAt < MEASURE_NANOS ? mMillisPerToken : 0;
    }

    /** Takes note of an attempt that ended with {@code tokens} tokens after {@code nanos}. */
    void recordLatency(int tokens, long nanos, long now) {
        if (tokens <= 0) {
            return;
        }
        double measured = (double) nanos / Nanos.PER_MILLI / tokens;
        boolean known = millisPerToken(now) > 0;
        mMillisPerToken =
                known ? mMillisPerToken * (1 - NEW_SHARE) + measured * NEW_SHARE : measured;
        mMeasuredAt = now;
    }

    void setUsable(boolean usable) {
        mUsable = usable;
    }

    void onLoad(EndpointLoad load) {
        mLoad = load;
        mCallsSince = 0;
        mSamplesSince = 0;
    }

    void onSent(boolean sample) {
        if (sample) {
            mSamplesSince++;
        } else {
            mCallsSince++;
        }
    }
}
