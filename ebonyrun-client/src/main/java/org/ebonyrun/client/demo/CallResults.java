package org.ebonyrun.client.demo;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counters, latencies and keys of the calls of the demonstration. Thread safe. */
final class CallResults {
    private static final int SIGNIFICANT_DIGITS = 3;

    final AtomicLong mAnswered = new AtomicLong();
    final AtomicLong mLate = new AtomicLong();
    final AtomicLong mRefused = new AtomicLong();
    final AtomicLong mFailed = new AtomicLong();
    final List<String> mWrongAnswers = new CopyOnWriteArrayList<>();
    final List<String> mSyncAnswered = new CopyOnWriteArrayList<>();
    final List<String> mSyncNotRun = new CopyOnWriteArrayList<>();
    final List<String> mSyncUnknown = new CopyOnWriteArrayList<>();
    private final Histogram mLatencyMicros = new ConcurrentHistogram(SIGNIFICANT_DIGITS);

    void recordAnswer(long nanos, long targetMillis) {
        mAnswered.incrementAndGet();
        mLatencyMicros.recordValue(nanos / 1_000);
        if (nanos > targetMillis * 1_000_000) {
            mLate.incrementAndGet();
        }
    }

    /** Returns a quantile of the time to the complete response, in milliseconds. */
    double latencyMillis(double quantile) {
        return mLatencyMicros.getValueAtPercentile(quantile * 100) / 1_000.0;
    }
}
