package org.ebonyrun.daemon.hosted;

import org.ebonyrun.base.time.Nanos;

/**
 * Tracks whether the shared store is available, and probes it while it is not.
 *
 * <p>During an outage, callers whose steps were refused retry several times a second, so every
 * moment between the end of the outage and its detection costs refusals. A probe every {@link
 * #PROBE_INTERVAL_NANOS} detects the end soon, independent of the timeouts of other calls.
 *
 * <p>Invariant: a probe is sent only after a call or watch has failed, or during an outage, and at
 * most {@link #MAX_OPEN_PROBES} are open.
 *
 * <p>Not thread safe; confined to the entry's event loop.
 */
final class StoreHealth {
    /** The least time between two probes. */
    static final long PROBE_INTERVAL_NANOS = Nanos.ofMillis(250);

    /** The maximum number of open probes. */
    static final int MAX_OPEN_PROBES = 4;

    /** Sends probes and is notified of changes of the store's availability. */
    interface Listener {
        /**
         * Sends a call to the store; its outcome has to be passed to {@link #onProbeEnd}.
         *
         * @param round the round in which the probe is sent
         */
        void sendProbe(int round);

        /**
         * Called when an outage begins.
         *
         * @param why the fault that showed it
         */
        void onUnavailable(String why);

        /** Called when an outage ends. */
        void onAvailable();
    }

    private final Listener mListener;
    private boolean mUnavailable;
    private long mOutageSince;
    private boolean mHadOutage;
    private long mAvailableSince;
    // The number of outages that have ended. Faults of probes of an earlier round are ignored.
    private int mRound;
    private int mOpenProbes;
    private boolean mProbed;
    private long mProbedAt;

    StoreHealth(Listener listener) {
        mListener = listener;
    }

    /** Returns whether the store is unavailable. */
    boolean isUnavailable() {
        return mUnavailable;
    }

    /** Returns how long the outage has lasted, in nanoseconds; zero if the store is available. */
    long outageNanos(long now) {
        return mUnavailable ? now - mOutageSince : 0;
    }

    /**
     * Returns the time since the store was last unavailable, in nanoseconds; zero during an outage,
     * and the maximum if there was none.
     */
    long nanosSinceOutage(long now) {
        if (mUnavailable) {
            return 0;
        }
        return mHadOutage ? now - mAvailableSince : Long.MAX_VALUE;
    }

    /**
     * Handles the fault of a call other than a watch. One failed call does not show an outage, so
     * the store is only probed.
     */
    void onCallFault(long now) {
        if (!mUnavailable) {
            probeIfDue(now);
        }
    }

    /** Handles the fault of a watch, which begins an outage. */
    void onWatchFault(String why, long now) {
        if (!mUnavailable) {
            mUnavailable = true;
            mOutageSince = now;
            mListener.onUnavailable(why);
            probeIfDue(now);
        }
    }

    /** Handles a successful response, which ends an outage. */
    void onResponse(long now) {
        if (mUnavailable) {
            mUnavailable = false;
            mHadOutage = true;
            mAvailableSince = now;
            mRound++;
            mListener.onAvailable();
        }
    }

    /**
     * Handles the outcome of a probe. The fault of a probe that was sent before the last outage
     * ended is ignored, since it does not show that the store is unavailable again.
     *
     * @param round the round in which the probe was sent
     * @param fault the fault; empty if the store responded
     */
    void onProbeEnd(int round, String fault, long now) {
        mOpenProbes--;
        if (fault.isEmpty()) {
            onResponse(now);
        } else if (round == mRound) {
            onWatchFault(fault, now);
        }
    }

    /** Sends a probe during an outage if one is due. */
    void onTick(long now) {
        if (mUnavailable) {
            probeIfDue(now);
        }
    }

    private void probeIfDue(long now) {
        boolean due = !mProbed || now - mProbedAt >= PROBE_INTERVAL_NANOS;
        if (due && mOpenProbes < MAX_OPEN_PROBES) {
            mProbed = true;
            mProbedAt = now;
            mOpenProbes++;
            mListener.sendProbe(mRound);
        }
    }
}
