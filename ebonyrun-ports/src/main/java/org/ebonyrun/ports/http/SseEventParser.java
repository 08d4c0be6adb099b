package org.ebonyrun.ports.http;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Splits a server-sent event stream into events with numeric IDs.
 *
 * <p>Not thread safe; used by one stream. An event without its terminating empty line is never
 * passed to the sink. An event of more than {@value #MAX_EVENT_BYTES} bytes makes the stream
 * invalid: {@link #feed} returns false from then on, and nothing more is passed to the sink.
 */
public final class SseEventParser {
    /** The most bytes of an event, its field names included. */
    static final int MAX_EVENT_BYTES = 64 * 1024;

    private static final int MAX_ID_DIGITS = 9;

    private final Consumer<SseEvent> mSink;
    private final LineSplitter mLines = new LineSplitter(MAX_EVENT_BYTES, this::onLine);
    private final StringBuilder mData = new StringBuilder();
    private final Map<String, String> mFields = new HashMap<>();
    private long mId = -1;
    private boolean mHasData;
    private int mEventBytes;

    private SseEventParser(Consumer<SseEvent> sink) {
        mSink = sink;
    }

    /** Creates a parser that passes each event to {@code sink}. */
    public static SseEventParser create(Consumer<SseEvent> sink) {
        return new SseEventParser(sink);
    }

    /** Consumes bytes of the stream; returns false once an event is too large. */
    public boolean feed(byte[] bytes) {
        return mLines.feed(bytes) && mEventBytes <= MAX_EVENT_BYTES;
    }

    /** Returns whether all bytes so far belong to complete events. */
    public boolean isBetweenEvents() {
        return mLines.isBetweenLines() && !mHasData && mId < 0 && mFields.isEmpty();
    }

    private void onLine(String line) {
        if (mEventBytes > MAX_EVENT_BYTES) {
            return;
        }
        if (line.isEmpty()) {
            endEvent();
            return;
        }
        int colon = line.indexOf(':');
        if (colon == 0) {
            return;
        }
        mEventBytes += line.length() + 1;
        String name = colon < 0 ? line : line.substring(0, colon);
        String rest = colon < 0 ? "" : line.substring(colon + 1);
        String value = rest.startsWith(" ") ? rest.substring(1) : rest;
        addField(name, value);
    }

    private void addField(String name, String value) {
        switch (name) {
            case "data" -> {
                if (mHasData) {
                    mData.append('\n');
                }
                mData.append(value);
                mHasData = true;
            }
            case "id" -> mId = parseId(value);
            default -> mFields.put(name, value);
        }
    }

    private static long parseId(String text) {
        boolean digits = !text.isEmpty() && text.length() <= MAX_ID_DIGITS;
        return digits && text.chars().allMatch(c -> c >= '0' && c <= '9')
                ? Long.parseLong(text)
                : -1;
    }

    private void endEvent() {
        if (mHasData || mId >= 0) {
            mSink.accept(new SseEvent(mId, mData.toString(), mFields));
        }
        mData.setLength(0);
        mFields.clear();
        mId = -1;
        mHasData = false;
        mEventBytes = 0;
    }
}
