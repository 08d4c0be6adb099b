package org.ebonyrun.base.log;

/**
 * One line of a log, built field by field.
 *
 * <p>Not thread safe; used by the thread that creates it.
 */
public final class LogLine {
    private static final int FIRST_CONTROL_FREE = 0x20;

    private final StringBuilder mText = new StringBuilder(160);

    private LogLine(String event) {
        mText.append("{\"at\":").append(System.currentTimeMillis());
        with("event", event);
    }

    /** Begins a line about an event, for example {@code call.refused}. */
    public static LogLine of(String event) {
        return new LogLine(event);
    }

    /** Adds a text. */
    public LogLine with(String name, String value) {
        mText.append(",\"").append(name).append("\":\"");
        for (int i = 0; i < value.length(); i++) {
            append(value.charAt(i));
        }
        mText.append('"');
        return this;
    }

    /** Adds a number. */
    public LogLine with(String name, long value) {
        mText.append(",\"").append(name).append("\":").append(value);
        return this;
    }

    /** Adds a truth value. */
    public LogLine with(String name, boolean value) {
        mText.append(",\"").append(name).append("\":").append(value);
        return this;
    }

    /** Adds any other value by its text. */
    public LogLine with(String name, Object value) {
        return with(name, String.valueOf(value));
    }

    private void append(char c) {
        if (c == '"' || c == '\\') {
            mText.append('\\').append(c);
        } else if (c < FIRST_CONTROL_FREE) {
            mText.append(' ');
        } else {
            mText.append(c);
        }
    }

    /** Returns the line with its line feed. */
    String text() {
        return mText.append("}\n").toString();
    }
}
