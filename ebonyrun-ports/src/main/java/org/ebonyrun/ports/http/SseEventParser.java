package org.ebonyrun.ports.http;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Cuts a server-sent event stream into numbered events.
 *
 * <p>Not thread safe; used by one stream. An event without its closing empty line is never passed
 * on. A line above the limit makes the stream invalid, and {@link #feed} says so.
 */
public final class SseEventParser {
    private static final int MAX_NUMBER_DIGITS = 9;

    private final Consumer<SseEvent> mSink;
    private final LineSplitter mLines = new LineSplitter(this::onLine);
    private final StringBuilder mData = new StringBuilder();
    private final Map<String, String> mFields = new HashMap<>();
    private long mId = -1;
    private boolean mHasData;

    private SseEventParser(Consumer<SseEvent> sink) {
        mSink = sink;
    }

    /** Creates a parser that gives each event to {@code sink}. */
    public static SseEventParser create(Consumer<SseEvent> sink) {
        return new SseEventParser(sink);
    }

    /** Consumes bytes of the stream; returns false once a line is longer than one mebibyte. */
    public boolean feed(byte[] bytes) {
        return mLines.feed(bytes);
    }

    /** Returns whether the stream stands between two events. */
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
            case "id" -> mId = number(value);
            default -> mFields.put(name, value);
        }
    }

    private static long number(String text) {
        boolean digits = !text.isEmpty() && text.length() <= MAX_NUMBER_DIGITS;
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
