package org.ebonyrun.core.usage;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * When the usage of windows is fixed; all times are in milliseconds.
 *
 * <p>Immutable and thread safe.
 *
 * @param windowMillis the length of a window
 * @param fixAfterMillis how long after the end of a window its counts are fixed
 */
public record UsageTimes(long windowMillis, long fixAfterMillis) {
    // Entries store their counts up to 1.5 s after the end of a window.
    private static final long MIN_FIX_AFTER_MILLIS = 2_500;
    private static final long TAKEOVER_SLACK_MILLIS = 500;

    /** Checks the times. */
    public UsageTimes {
        checkArgument(windowMillis > 0, "window is not positive: %s", windowMillis);
        checkArgument(fixAfterMillis >= 0, "time is negative: %s", fixAfterMillis);
    }

    /**
     * Returns the latest times at which a new holder can still report in time if the holder is lost
     * just then.
     *
     * @param lateMillis how long after the end of a window its usage is due
     * @param takeoverMillis how long after the loss of a holder a new one may make calls
     */
    public static UsageTimes of(long windowMillis, long lateMillis, long takeoverMillis) {
        long latest = lateMillis - takeoverMillis - TAKEOVER_SLACK_MILLIS;
        return new UsageTimes(windowMillis, Math.max(MIN_FIX_AFTER_MILLIS, latest));
    }

    /** Returns the window of a time. */
    public long windowAt(long wallMillis) {
        return Math.floorDiv(wallMillis, windowMillis);
    }

    /** Returns the last window whose counts may be fixed at a time. */
    public long lastFixable(long wallMillis) {
        return windowAt(wallMillis - fixAfterMillis) - 1;
    }
}
