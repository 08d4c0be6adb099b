package org.ebonyrun.core.step;

/**
 * What the runs of one route have shown: how long they take to start, and how many events a text
 * has for each token that its trainer expected.
 *
 * <p>Designed for routes whose texts differ in length by an order of magnitude and whose trainers'
 * estimates are right at the median only. Older observations fade.
 *
 * <p>Not thread safe; confined to the event loop of its {@link StepMachine}.
 */
final class RunStatistics {
    private static final double DECAY = 0.98;
    // Below this number of complete texts, a text is taken to be at half of its length.
    private static final int MIN_TEXTS = 8;
    private static final double START_SMOOTHING = 0.1;
    // A text that exceeds its expected length goes on for this fraction of what it has.
    private static final double EXCESS_FRACTION = 0.5;

    private int mTexts;
    private double mWeight;
    private double mEvents;
    private double mExpectedTokens;
    private double mEventsOfExpected;
    private double mStartNanos;

    /** Handles the first event of a run, so many nanoseconds after the run was sent. */
    void onStarted(long nanos) {
        mStartNanos =
                mStartNanos == 0 ? nanos : mStartNanos + START_SMOOTHING * (nanos - mStartNanos);
    }

    /**
     * Handles a complete text.
     *
     * @param expectedTokens the trainer's estimate; zero if there was none
     */
    void onComplete(long expectedTokens, int events) {
        mTexts++;
        mWeight = DECAY * mWeight + 1;
        mEvents = DECAY * mEvents + events;
        if (expectedTokens > 0) {
            mExpectedTokens = DECAY * mExpectedTokens + expectedTokens;
            mEventsOfExpected = DECAY * mEventsOfExpected + events;
        }
    }

    /** Returns whether enough texts were complete to predict the length of others. */
    boolean predictsLength() {
        return mTexts >= MIN_TEXTS;
    }

    /** Returns the time from sending a run to its first event, in nanoseconds; zero if unknown. */
    double startNanos() {
        return mStartNanos;
    }

    /**
     * Returns how many events a text is expected to still get.
     *
     * @param expectedTokens the trainer's estimate of the whole text; zero if there is none
     * @param events the events that the text has
     */
    double remainingEvents(long expectedTokens, int events) {
        if (!predictsLength()) {
            return Math.max(1, events);
        }
        double length =
                expectedTokens > 0 && mExpectedTokens > 0
                        ? expectedTokens * mEventsOfExpected / mExpectedTokens
                        : mEvents / mWeight;
        return Math.max(length - events, EXCESS_FRACTION * events);
    }
}
