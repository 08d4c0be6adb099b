package org.ebonyrun.ports.http;

import java.util.function.Consumer;

/**
 * Cuts a server-sent event stream into the data of its events.
 *
 * <p>Not thread safe; used by one stream. A line above the limit makes the stream invalid, and
 * {@link #feed} says so.
 */
public final class SseDataParser {
    private static final String DATA = "data:";

    private final Consumer<String> mSink;
    private final LineSplitter mLines = new LineSplitter(this::onLine);

    private SseDataParser(Consumer<String> sink) {
        mSink = sink;
    }

    /** Creates a parser that gives the data of each event to {@code sink}. */
    public static SseDataParser create(Consumer<String> sink) {
        return new SseDataParser(sink);
    }

    /** Consumes bytes of the stream; returns false once a line is longer than one mebibyte. */
    public boolean feed(byte[] bytes) {
        return mLines.feed(bytes);
    }

    private void onLine(String line) {
        if (line.startsWith(DATA)) {
            mSink.accept(line.substring(DATA.length()).strip());
        }
    }
}
