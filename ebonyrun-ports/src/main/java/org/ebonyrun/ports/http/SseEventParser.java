package org.ebonyrun.ports.http;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Splits a server-sent event stream into events with numeric IDs.
 *
 * <p>Not thread safe; used by one stream. An event without its terminating empty line is never
 * passed to the sink. A line above the limit makes the stream invalid; {@link #feed} then returns
 * false.
 */
public final class SseEventParser {
    private static final int MAX_ID_DIGITS = 9;

    private final Consumer<SseEvent> mSink;
    private final LineSplitter mLines = new LineSplitter(this::onLine);
    private final StringBuilder mData = new StringBuilder();
    private final Map<String, String> mFields = new HashMap<>();
    private long mId = -1;
    private boolean mHasData;

    private SseEventParser(Consumer<SseEvent> sink) {
        mSink = sink;
    }

    /** Creates a parser that passes each event to {@code sink}. */
    public static SseEventParser create(Consumer<SseEvent> sink) {
        return new SseEventParser(sink);
    }

    /** Consumes bytes of the stream; returns false once a line is longer than one mebibyte. */
    public boolean feed(byte[] bytes) {
        return mLines.feed(bytes);
    }

    /** Returns whether all bytes so far belong to complete events. */
    public boolean isBetweenEvents() {
        return mLines.isBetweenLines() && !mHasData && mId < 0 && mFields.isEmpty();
    }

    private void onLine(String line) {
        if (line.isEmpty()) {
            endEvent();
            return;
        }
        int colon = line.indexOf(':');
        if (colon == 0) {
            return;
        }
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
    }
}
