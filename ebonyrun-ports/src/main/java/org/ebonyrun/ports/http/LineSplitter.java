package org.ebonyrun.ports.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a stream of bytes into lines of UTF-8 text, without the line terminators.
 *
 * <p>Not thread safe; used by one stream.
 */
final class LineSplitter {
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final Consumer<String> mSink;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();

    LineSplitter(Consumer<String> sink) {
        mSink = sink;
    }

    /** Consumes bytes; returns false once an unfinished line is longer than one mebibyte. */
    boolean feed(byte[] bytes) {
        for (byte b : bytes) {
            if (b == '\n') {
                String line = mLine.toString(StandardCharsets.UTF_8);
                mLine.reset();
                mSink.accept(line);
            } else if (b != '\r') {
                mLine.write(b);
            }
        }
        return mLine.size() <= MAX_LINE_BYTES;
    }

    /** Returns whether all bytes so far belong to complete lines. */
    boolean isBetweenLines() {
        return mLine.size() == 0;
    }
}
