package org.ebonyrun.base.log;

/**
 * Builds one log line: a JSON object with the time, the event's name and the added fields.
 *
 * <p>Not thread safe.
 */
public final class LogLine {
    private static final int FIRST_NON_CONTROL_CHAR = 0x20;

    private final StringBuilder mText = new StringBuilder(160);

    private LogLine(String event) {
        mText.append("{\"at\":").append(System.currentTimeMillis());
        with("event", event);
    }

    /** Starts a line for an event, for example {@code call.refused}. */
    public static LogLine of(String event) {
        return new LogLine(event);
    }

    /** Adds a string field; control characters in the value become blanks. */
    public LogLine with(String name, String value) {
        mText.append(",\"").append(name).append("\":\"");
        for (int i = 0; i < value.length(); i++) {
            appendEscaped(value.charAt(i));
        }
        mText.append('"');
        return this;
    }

    /** Adds a number field. */
    public LogLine with(String name, long value) {
        mText.append(",\"").append(name).append("\":").append(value);
        return this;
    }

    /** Adds a boolean field. */
    public LogLine with(String name, boolean value) {
        mText.append(",\"").append(name).append("\":").append(value);
        return this;
    }

    /** Adds a string field with the value's string form. */
    public LogLine with(String name, Object value) {
        return with(name, String.valueOf(value));
    }

    private void appendEscaped(char c) {
        if (c == '"' || c == '\\') {
            mText.append('\\').append(c);
        } else if (c < FIRST_NON_CONTROL_CHAR) {
            mText.append(' ');
        } else {
            mText.append(c);
        }
    }

    /** Completes the JSON object and returns it with a line feed. Must be called only once. */
    String text() {
        return mText.append("}\n").toString();
    }
}
