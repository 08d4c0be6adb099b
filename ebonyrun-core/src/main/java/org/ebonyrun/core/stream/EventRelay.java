package org.ebonyrun.core.stream;

import java.io.ByteArrayOutputStream;

/**
 * Passes on the whole events of a stream, so that another endpoint can go on after the last of them
 * when one breaks off, also in the middle of an event.
 *
 * <p>Invariants: while {@link #canGoOn} holds, all bytes passed on belong to whole events, and
 * {@link #lastEvent} is the number of the last of them. A stream whose events have no consecutive
 * numbers, or are too large, is passed on as it comes and can't go on.
 *
 * <p>Not thread safe; used by one stream.
 */
public final class EventRelay {
    /** The most bytes of an event that are held back until it is whole. */
    static final int MAX_EVENT_BYTES = 64 * 1024;

    private static final int MAX_ID_DIGITS = 9;
    // The longest line of which the content matters: an event's number.
    private static final int MAX_LINE_BYTES = 32;
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream mHeldBack = new ByteArrayOutputStream();
    private final StringBuilder mLine = new StringBuilder();
    private long mLastEvent;
    private long mEvent = -1;
    private boolean mHasContent;
    private boolean mPlain;
    private boolean mGoingOn;

    /**
     * Creates a relay.
     *
     * @param lastEvent the number of the last event that the caller has; zero if it has none
     */
    public EventRelay(long lastEvent) {
        mLastEvent = lastEvent;
    }

    /** Returns the number of the last event that was passed on; zero if there is none. */
    public long lastEvent() {
        return mLastEvent;
    }

    /** Returns whether another endpoint can go on after the last event. */
    public boolean canGoOn() {
        return !mPlain;
    }

    /** Drops the event that broke off; the next bytes come from an endpoint that goes on. */
    public void goOn() {
        mHeldBack.reset();
        resetEvent();
        mGoingOn = true;
    }

    private void resetEvent() {
        mLine.setLength(0);
        mEvent = -1;
        mHasContent = false;
    }

    /**
     * Consumes bytes of the stream.
     *
     * @return the bytes to pass on
     * @throws IllegalStateException if an endpoint that goes on does so at another event than the
     *     one that follows; nothing of it may be passed on
     */
    public byte[] feed(byte[] bytes) {
        if (mPlain) {
            return bytes;
        }
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        for (byte b : bytes) {
            mHeldBack.write(b);
            if (b == '\n') {
                endLine(whole);
            } else if (mLine.length() <= MAX_LINE_BYTES) {
                mLine.append((char) (b & 0xff));
            }
        }
        if (mPlain || mHeldBack.size() > MAX_EVENT_BYTES) {
            mPlain = true;
            whole.writeBytes(mHeldBack.toByteArray());
            mHeldBack.reset();
        }
        return whole.toByteArray();
    }

    /** Returns whether the bytes so far end within an event. */
    public boolean isInsideEvent() {
        return !mPlain && mHeldBack.size() > 0;
    }

    /** Returns the bytes after the last whole event, at the end of a complete stream. */
    public byte[] finish() {
        byte[] rest = mHeldBack.toByteArray();
        mHeldBack.reset();
        return rest;
    }

    private void endLine(ByteArrayOutputStream whole) {
        String line = mLine.toString().stripTrailing();
        mLine.setLength(0);
        if (!line.isEmpty()) {
            mHasContent |= line.charAt(0) != ':';
            if (line.startsWith(ID_FIELD)) {
                mEvent = parse(line.substring(ID_FIELD.length()).strip());
            }
            return;
        }
        if (mHasContent) {
            endEvent();
        }
        if (!mPlain) {
            whole.writeBytes(mHeldBack.toByteArray());
            mHeldBack.reset();
        }
    }

    private void endEvent() {
        boolean follows = mEvent == mLastEvent + 1;
        if (mGoingOn && !follows) {
            throw new IllegalStateException(
                    "received event " + mEvent + " after event " + mLastEvent);
        }
        mPlain |= !follows;
        mLastEvent = follows ? mEvent : mLastEvent;
        mEvent = -1;
        mHasContent = false;
    }

    private static long parse(String digits) {
        boolean valid = !digits.isEmpty() && digits.length() <= MAX_ID_DIGITS;
        return valid && digits.chars().allMatch(c -> c >= '0' && c <= '9')
                ? Long.parseLong(digits)
                : -1;
    }
}
