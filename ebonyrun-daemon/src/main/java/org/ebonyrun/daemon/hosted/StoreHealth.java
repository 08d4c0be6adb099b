package org.ebonyrun.daemon.hosted;

import org.ebonyrun.base.time.Nanos;

/**
 * Tells whether the shared store answers, and asks it often while it does not.
 *
 * <p>Answers the load of an outage: callers whose steps were refused come back several times a
 * second, so each moment between the store's return and its notice costs refusals. One call every
 * {@link #PROBE_NANOS} finds the return, whatever the timeouts of other calls are.
 *
 * <p>Invariant: probes are sent only while there is doubt, and at most {@link #MAX_OPEN} are open.
 *
 * <p>Not thread safe; confined to the entry's duty.
 */
final class StoreHealth {
    /** The time between two probes while the store does not answer. */
    static final long PROBE_INTERVAL_NANOS = Nanos.ofMillis(250);

    /** How many probes may be open. */
    static final int MAX_OPEN_PROBES = 4;

    /** Carries out what the health of the store asks for. */
    interface Listener {
        /**
         * Sends a call to the store, to be answered with {@link #onProbeEnd}.
         *
         * @param round the round in which it is sent
         */
        void sendProbe(int round);

        /** The store does not answer. */
        void onUnavailable(String why);

        /** The store answers again. */
        void onAvailable();
    }

    private final Listener mListener;
    private boolean mAway;
    private long mAwaySince;
    private int mRound;
    private int mOpen;
    private boolean mProbed;
    private long mProbedAt;

    StoreHealth(Listener listener) {
        mListener = listener;
    }

    /** Returns whether the store does not answer. */
    boolean isUnavailable() {
        return mAway;
    }

    /** Returns for how long the store has not answered, in nanoseconds; zero if it answers. */
    long outageNanos(long now) {
        return mAway ? now - mAwaySince : 0;
    }

    /** Notes that a call got no proper answer, which says little of others: asks once. */
    void onCallFault(long now) {
        if (!mAway) {
            probe(now);
        }
    }

    /** Notes that a watch got no proper answer. */
    void onWatchFault(String why, long now) {
        if (!mAway) {
            mAway = true;
            mAwaySince = now;
            mListener.onUnavailable(why);
            probe(now);
        }
    }

    /** Notes a proper answer. */
    void onResponse() {
        if (mAway) {
            mAway = false;
            mRound++;
            mListener.onAvailable();
        }
    }

    /**
     * Notes how a probe ended. One that was sent before the store's return says nothing of the time
     * after it.
     *
     * @param round the round in which it was sent
     * @param fault what went wrong; empty if the store answered
     */
    void onProbeEnd(int round, String fault, long now) {
        mOpen--;
        if (fault.isEmpty()) {
            onResponse();
        } else if (round == mRound) {
            onWatchFault(fault, now);
        }
    }

    /** Sends a probe when it is time. */
    void onTick(long now) {
        if (mAway) {
            probe(now);
        }
    }

    private void probe(long now) {
        boolean due = !mProbed || now - mProbedAt >= PROBE_INTERVAL_NANOS;
        if (due && mOpen < MAX_OPEN_PROBES) {
            mProbed = true;
            mProbedAt = now;
            mOpen++;
            mListener.sendProbe(mRound);
        }
    }
}
