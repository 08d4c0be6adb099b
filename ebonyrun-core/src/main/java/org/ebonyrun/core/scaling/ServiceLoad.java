package org.ebonyrun.core.scaling;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The load of a service as one entry or all entries see it.
 *
 * <p>Immutable and thread safe.
 *
 * @param calls the number of places that calls need: open calls, running or waiting, and those that
 *     refused calls would have needed
 * @param samples the number of running samples
 * @param secondsPerSample the mean time for which a sample occupies a place; zero if unknown
 */
public record ServiceLoad(double calls, double samples, double secondsPerSample) {
    /** No load. */
    public static final ServiceLoad NONE = new ServiceLoad(0, 0, 0);

    /** Checks that all figures are finite and not negative. */
    public ServiceLoad {
        checkFigure("calls", calls);
        checkFigure("samples", samples);
        checkFigure("seconds per sample", secondsPerSample);
    }

    private static void checkFigure(String name, double value) {
        checkArgument(Double.isFinite(value) && value >= 0, "%s out of range: %s", name, value);
    }

    /** Returns the sum of two loads; the time of a sample is weighted by the running samples. */
    public ServiceLoad plus(ServiceLoad other) {
        double running = samples + other.samples;
        double seconds =
                running > 0
                        ? (samples * secondsPerSample + other.samples * other.secondsPerSample)
                                / running
                        : Math.max(secondsPerSample, other.secondsPerSample);
        return new ServiceLoad(calls + other.calls, running, seconds);
    }

    /** Returns whether there is no load. */
    public boolean isZero() {
        return calls == 0 && samples == 0;
    }
}
