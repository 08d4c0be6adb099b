package org.ebonyrun.base.time;

/** Converts between milliseconds and nanoseconds. Stateless and thread safe. */
public final class Nanos {
    /** Nanoseconds in a millisecond. */
    public static final long PER_MILLI = 1_000_000L;

    /** Nanoseconds in a second. */
    public static final long PER_SECOND = 1_000_000_000L;

    private Nanos() {}

    /** Returns {@code millis} milliseconds in nanoseconds. */
    public static long ofMillis(long millis) {
        return millis * PER_MILLI;
    }

    /** Returns {@code nanos} nanoseconds in whole milliseconds, rounded down. */
    public static long toMillis(long nanos) {
        return Math.floorDiv(nanos, PER_MILLI);
    }
}
