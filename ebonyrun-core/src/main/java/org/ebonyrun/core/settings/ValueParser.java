package org.ebonyrun.core.settings;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the values of settings, with their units. Stateless and thread safe. */
public final class ValueParser {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})\\s*(ms|s|min|h)");
    private static final Pattern VERSIONS = Pattern.compile("(\\d{1,6})\\s*versions?");
    private static final Pattern SIZE = Pattern.compile("(\\d{1,9})\\s*(KB|MB|GB)");
    private static final Pattern PERCENTAGE = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,4})?)\\s*%");
    private static final Pattern COUNT = Pattern.compile("\\d{1,9}");

    private ValueParser() {}

    /**
     * Parses a duration such as {@code 200ms} and returns milliseconds.
     *
     * @throws IllegalArgumentException if the text is not a number with a unit
     */
    public static long parseMillis(String text) {
        Matcher m = DURATION.matcher(text.strip());
        checkArgument(m.matches(), "'%s' is not a duration; write for example 200ms or 5s", text);
        long n = Long.parseLong(m.group(1));
        return switch (m.group(2)) {
            case "ms" -> n;
            case "s" -> n * 1_000;
            case "min" -> n * 60_000;
            default -> n * 3_600_000;
        };
    }

    /**
     * Parses a staleness bound such as {@code 4 versions}.
     *
     * @throws IllegalArgumentException if the text is not a number with the unit {@code versions}
     */
    public static long parseVersions(String text) {
        Matcher m = VERSIONS.matcher(text.strip());
        checkArgument(m.matches(), "'%s' is not a number of versions; write '4 versions'", text);
        return Long.parseLong(m.group(1));
    }

    /**
     * Parses a size such as {@code 64MB} and returns bytes.
     *
     * @throws IllegalArgumentException if the text is not a number with a unit
     */
    public static long parseBytes(String text) {
        Matcher m = SIZE.matcher(text.strip());
        checkArgument(m.matches(), "'%s' is not a size; write for example 64MB", text);
        long n = Long.parseLong(m.group(1));
        return switch (m.group(2)) {
            case "KB" -> n << 10;
            case "MB" -> n << 20;
            default -> n << 30;
        };
    }

    /**
     * Parses a whole number without a unit.
     *
     * @throws IllegalArgumentException if the text is not a whole number
     */
    public static int parseCount(String text) {
        checkArgument(COUNT.matcher(text.strip()).matches(), "'%s' is not a whole number", text);
        return Integer.parseInt(text.strip());
    }

    /**
     * Parses a quantile between zero and one, both exclusive.
     *
     * @throws IllegalArgumentException if the text is not such a number
     */
    public static double parseQuantile(String text) {
        double q = parseDouble(text);
        checkArgument(q > 0 && q < 1, "'%s' is not a quantile; write for example 0.99", text);
        return q;
    }

    /**
     * Parses a percentage such as {@code 5%} and returns a share between zero and one.
     *
     * @throws IllegalArgumentException if the text is not a number from 0 to 100 with a percent
     *     sign
     */
    public static double parsePercentage(String text) {
        Matcher m = PERCENTAGE.matcher(text.strip());
        checkArgument(m.matches(), "'%s' is not a percentage; write for example 5%%", text);
        double percent = Double.parseDouble(m.group(1));
        checkArgument(percent <= 100, "'%s' is more than 100%%", text);
        return percent / 100;
    }

    /**
     * Parses {@code true} or {@code false}.
     *
     * @throws IllegalArgumentException for any other text
     */
    public static boolean parseBoolean(String text) {
        checkArgument(
                text.equals("true") || text.equals("false"), "'%s' is not true or false", text);
        return text.equals("true");
    }

    private static double parseDouble(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + text + "' is not a number", e);
        }
    }
}
