package org.ebonyrun.core.scaling;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;

/**
 * The demand of one service, in places, from the load that all entries report and from the
 * trainers' steps.
 *
 * <p>Load that it answers: calls of any kind count at once; samples run in waves, one a step, so
 * their number counts as a mean over several seconds, and the places that the steps need count if
 * they are more.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
public final class ServiceDemand {
    private static final double MEAN_SECONDS = 10;

    private boolean mMeasured;
    private long mMeasuredAt;
    private double mSamples;
    private double mSecondsPerSample;

    /**
     * Returns the demand.
     *
     * @param load the load of the service at all entries
     * @param forecast the steps that were submitted so far
     */
    public double estimate(ServiceLoad load, StepForecast forecast, ServiceName service, long now) {
        double elapsed = mMeasured ? (double) (now - mMeasuredAt) / Nanos.PER_SECOND : MEAN_SECONDS;
        mMeasured = true;
        mMeasuredAt = now;
        double weight = 1 - Math.exp(-elapsed / MEAN_SECONDS);
        mSamples += weight * (load.samples() - mSamples);
        if (load.secondsPerSample() > 0) {
            mSecondsPerSample = load.secondsPerSample();
        }
        return load.calls() + Math.max(mSamples, forecast.places(service, mSecondsPerSample, now));
    }
}
