package org.ebonyrun.core.attempt;

import java.util.HashMap;
import java.util.Map;
import org.ebonyrun.base.id.ClassName;

/**
 * Statistics of the recent service times of each class of work.
 *
 * <p>Not thread safe; confined to the event loop that owns it.
 */
public final class ServiceTimes {
    private static final int WINDOW = 128;
    private static final double MEDIAN = 0.5;

    private final Map<ClassName, RotatingHistogram> mByClass = new HashMap<>();

    /** Adds the measured service time of one attempt, in milliseconds. */
    public void add(ClassName name, long millis) {
        mByClass.computeIfAbsent(name, key -> RotatingHistogram.create(WINDOW)).add(millis);
    }

    /** Returns the median service time in milliseconds; zero if none has been measured. */
    public long medianMillis(ClassName name) {
        return quantileMillis(name, MEDIAN);
    }

    /** Returns the mean service time in milliseconds; zero if none has been measured. */
    public double meanMillis(ClassName name) {
        RotatingHistogram times = mByClass.get(name);
        return times == null ? 0 : times.mean(0);
    }

    /** Returns a quantile of the service time in milliseconds; zero if none has been measured. */
    public long quantileMillis(ClassName name, double q) {
        RotatingHistogram times = mByClass.get(name);
        return times == null ? 0 : times.quantile(q, 0);
    }
}
