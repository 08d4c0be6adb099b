package org.ebonyrun.core.scaling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;

/**
 * Measures the load of one service at one entry, as means between two readings.
 *
 * <p>By Little's law, the mean number of running samples, divided by the number of samples sent per
 * second, is the time of a sample. Load that it answers: any; a sample or call that begins and ends
 * between two observations counts as sent, but not as running.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
public final class LoadMeter {
    private static final double SMOOTHING = 0.3;

    /** The counts of an endpoint at the last observation. */
    private record Counts(long calls, long runs) {}

    private Map<Endpoint, Counts> mCounts = new HashMap<>();
    private long mStartedAt;
    private long mObservedAt;
    private double mOpenCallNanos;
    private double mActiveCallNanos;
    private double mSampleNanos;
    private long mSentCalls;
    private long mSentRuns;
    private long mRefusedCalls;
    private double mSecondsPerCall;
    private double mSecondsPerSample;

    /** Creates a meter that has measured nothing. */
    public LoadMeter(long now) {
        mStartedAt = now;
        mObservedAt = now;
    }

    /** Handles the refusal of a call. */
    public void onRefused() {
        mRefusedCalls++;
    }

    /**
     * Observes the state of the service, which counts for the time since the last observation.
     *
     * @param endpoints the endpoints of the service
     * @param openCalls the number of open calls of the service, running or waiting
     */
    public void observe(Collection<Endpoint> endpoints, int openCalls, long now) {
        long elapsed = now - mObservedAt;
        mObservedAt = now;
        Map<Endpoint, Counts> counts = new HashMap<>();
        int calls = 0;
        int samples = 0;
        for (Endpoint endpoint : endpoints) {
            Counts current = new Counts(endpoint.sentCalls(), endpoint.sentRuns());
            Counts before = mCounts.getOrDefault(endpoint, current);
            mSentCalls += current.calls() - before.calls();
            mSentRuns += current.runs() - before.runs();
            counts.put(endpoint, current);
            calls += endpoint.activeCalls();
            samples += endpoint.activeRequests() - endpoint.activeCalls();
        }
        mCounts = counts;
        mOpenCallNanos += (double) elapsed * Math.max(openCalls, calls);
        mActiveCallNanos += (double) elapsed * calls;
        mSampleNanos += (double) elapsed * samples;
    }

    /** Returns the mean load since the last reading, and starts the next one. */
    public ServiceLoad read(long now) {
        double nanos = Math.max(1, mObservedAt - mStartedAt);
        mSecondsPerCall = smooth(mSecondsPerCall, mActiveCallNanos, mSentCalls);
        mSecondsPerSample = smooth(mSecondsPerSample, mSampleNanos, mSentRuns);
        double refusedCalls = mRefusedCalls * mSecondsPerCall * Nanos.PER_SECOND / nanos;
        ServiceLoad load =
                new ServiceLoad(
                        mOpenCallNanos / nanos + refusedCalls,
                        mSampleNanos / nanos,
                        mSecondsPerSample);
        mStartedAt = now;
        mObservedAt = now;
        mOpenCallNanos = 0;
        mActiveCallNanos = 0;
        mSampleNanos = 0;
        mSentCalls = 0;
        mSentRuns = 0;
        mRefusedCalls = 0;
        return load;
    }

    private static double smooth(double before, double placeNanos, long sent) {
        if (sent == 0) {
            return before;
        }
        double seconds = placeNanos / Nanos.PER_SECOND / sent;
        return before == 0 ? seconds : before + SMOOTHING * (seconds - before);
    }
}
