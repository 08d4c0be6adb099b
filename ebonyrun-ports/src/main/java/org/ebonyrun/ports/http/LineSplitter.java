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
    private final int mMaxLineBytes;
    private final Consumer<String> mSink;
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private boolean mTooLong;

    LineSplitter(int maxLineBytes, Consumer<String> sink) {
        mMaxLineBytes = maxLineBytes;
        mSink = sink;
    }

    /** Consumes bytes, up to the first line that is too long; returns false from then on. */
    boolean feed(byte[] bytes) {
        for (byte b : bytes) {
            if (mTooLong) {
                return false;
            }
            if (b == '\n') {
                String line = mLine.toString(StandardCharsets.UTF_8);
                mLine.reset();
                mSink.accept(line);
            } else if (b != '\r') {
                mLine.write(b);
                mTooLong = mLine.size() > mMaxLineBytes;
            }
        }
        return !mTooLong;
    }

    /** Returns whether all bytes so far belong to complete lines. */
    boolean isBetweenLines() {
        return mLine.size() == 0;
    }
}
