package org.ebonyrun.daemon.admin;

import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import org.tinylog.Level;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.ConsoleWriter;
import org.tinylog.writers.Writer;

/**
 * Writes log entries to the console, with a minimum level that can be changed at run time.
 * Configured in {@code tinylog.properties} as the writer {@code level}.
 *
 * <p>Thread safe: the level is volatile, and the console writer accepts entries from any thread.
 */
public final class LevelWriter implements Writer {
    private static volatile Level sMinimumLevel = Level.INFO;

    private final ConsoleWriter mConsole;

    /**
     * Creates a writer.
     *
     * @param properties the properties of the writer; {@code minimum} is the initial level, unless
     *     the system property {@code ebonyrun.log} is set
     */
    public LevelWriter(Map<String, String> properties) {
        mConsole = new ConsoleWriter(properties);
        String initial = System.getProperty("ebonyrun.log", properties.get("minimum"));
        if (initial != null) {
            setLevel(initial);
        }
    }

    /**
     * Sets the minimum level of written entries.
     *
     * @throws IllegalArgumentException if there is no level with this name
     */
    public static void setLevel(String name) {
        sMinimumLevel = Level.valueOf(name.toUpperCase(Locale.ROOT));
    }

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        Collection<LogEntryValue> values = mConsole.getRequiredLogEntryValues();
        values.add(LogEntryValue.LEVEL);
        return values;
    }

    @Override
    public void write(LogEntry entry) throws Exception {
        if (entry.getLevel().ordinal() >= sMinimumLevel.ordinal()) {
            mConsole.write(entry);
        }
    }

    @Override
    public void flush() throws Exception {
        mConsole.flush();
    }

    @Override
    public void close() throws Exception {
        mConsole.close();
    }
}
