package org.ebonyrun.ports.http;

import java.util.function.Consumer;

/**
 * Extracts the data lines of a server-sent event stream.
 *
 * <p>Not thread safe; used by one stream. A line above the limit makes the stream invalid; {@link
 * #feed} then returns false.
 */
public final class SseDataParser {
    private static final int MAX_LINE_BYTES = 1 << 20;

    private static final String DATA = "data:";

    private final Consumer<String> mSink;
    private final LineSplitter mLines = new LineSplitter(MAX_LINE_BYTES, this::onLine);

    private SseDataParser(Consumer<String> sink) {
        mSink = sink;
    }

    /** Creates a parser that passes the content of each data line to {@code sink}. */
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
