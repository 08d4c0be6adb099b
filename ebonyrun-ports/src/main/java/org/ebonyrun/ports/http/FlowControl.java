package org.ebonyrun.ports.http;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits the bytes that are on their way from a source to a slower sink: pauses the source while
 * too many bytes have been received and not yet written.
 *
 * <p>Invariant: after each call the source is paused only if more than the lower limit is on its
 * way, so a sink that keeps writing never leaves the source paused.
 *
 * <p>Thread safe: guarded by this object's monitor, which is held while the source is called.
 */
public final class FlowControl {
    /** A source of bytes that can be paused. */
    public interface Source {
        /** Stops reading; bytes that were read before may still be passed on. */
        void pause();

        /** Continues reading. */
        void resume();
    }

    private static final int HIGH_BYTES = 128 * 1024;
    private static final int LOW_BYTES = 32 * 1024;

    private final Source mSource;
    private final int mHighBytes;
    private final int mLowBytes;
    private long mPending;
    private boolean mPaused;

    private FlowControl(Source source, int highBytes, int lowBytes) {
        checkArgument(lowBytes < highBytes, "limits %s and %s overlap", lowBytes, highBytes);
        mSource = source;
        mHighBytes = highBytes;
        mLowBytes = lowBytes;
    }

    /** Creates a control with the default limits. */
    public static FlowControl of(Source source) {
        return new FlowControl(source, HIGH_BYTES, LOW_BYTES);
    }

    /** Creates a control with the given limits. */
    static FlowControl of(Source source, int highBytes, int lowBytes) {
        return new FlowControl(source, highBytes, lowBytes);
    }

    /** Handles bytes that the source has passed on. */
    public synchronized void onReceived(int bytes) {
        mPending += bytes;
        if (!mPaused && mPending > mHighBytes) {
            mPaused = true;
            mSource.pause();
        }
    }

    /** Handles bytes that the sink has written or dropped. */
    public synchronized void onWritten(int bytes) {
        mPending -= bytes;
        if (mPaused && mPending <= mLowBytes) {
            mPaused = false;
            mSource.resume();
        }
    }
}
