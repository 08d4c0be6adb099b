package org.ebonyrun.daemon.hosted;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import org.ebonyrun.core.settings.SettingsNode;
import org.ebonyrun.core.settings.ValueParser;
import org.ebonyrun.daemon.DaemonSettings;
import org.jspecify.annotations.Nullable;

/**
 * The settings of the duties that one entry performs for all; all times are in milliseconds.
 *
 * <p>Immutable and thread safe.
 *
 * @param address the address of the platform's interface to the duties
 * @param names the duties of the deployment; others are not performed
 * @param callsPerSecond how many calls the platform takes a second
 * @param leaseMillis the time within which two holders must not act by turns
 * @param fenced whether the platform refuses calls whose fence is outdated
 * @param usageWindowMillis the length of a window of usage
 * @param usageLateMillis how long after the end of a window its usage is due
 */
record DutySettings(
        InetSocketAddress address,
        Set<String> names,
        double callsPerSecond,
        long leaseMillis,
        boolean fenced,
        long usageWindowMillis,
        long usageLateMillis) {
    /** The duty to report usage. */
    static final String USAGE = "usage";

    /** The duty to order endpoints. */
    static final String SCALE = "scale";

    private static final Set<String> KEYS =
            Set.of("address", "names", "calls", "lease", "fenced", "usage_window", "usage_late");
    private static final double DEFAULT_CALLS_PER_SECOND = 10;
    private static final long DEFAULT_LEASE_MILLIS = 3_000;
    private static final long DEFAULT_WINDOW_MILLIS = 5_000;
    private static final long DEFAULT_LATE_MILLIS = 10_000;
    private static final int SECOND_MILLIS = 1_000;

    /** Copies the names. */
    DutySettings {
        names = Set.copyOf(names);
    }

    /** Returns whether a duty is to be performed. */
    boolean has(String name) {
        return names.contains(name);
    }

    /** Reads settings; null if they are absent or name no duty. */
    static @Nullable DutySettings read(SettingsNode node) {
        node.checkKeys(KEYS);
        Set<String> names = new LinkedHashSet<>();
        for (String name : node.get("names").text("").split(",", -1)) {
            if (!name.isBlank()) {
                names.add(name.strip());
            }
        }
        if (!node.isPresent() || names.isEmpty()) {
            return null;
        }
        if (names.contains(USAGE)) {
            node.get("usage_window").requireText("");
            node.get("usage_late").requireText("");
        }
        node.get("address").requireText("");
        DaemonSettings.ListenAddress address =
                node.get("address")
                        .read(
                                DaemonSettings.ListenAddress::parse,
                                new DaemonSettings.ListenAddress("127.0.0.1", 1));
        return new DutySettings(
                new InetSocketAddress(address.host(), address.port()),
                names,
                node.get("calls").read(DutySettings::parseRate, DEFAULT_CALLS_PER_SECOND),
                node.get("lease").read(DutySettings::parseDuration, DEFAULT_LEASE_MILLIS),
                node.get("fenced").read(DutySettings::parseBoolean, false),
                node.get("usage_window").read(DutySettings::parseDuration, DEFAULT_WINDOW_MILLIS),
                node.get("usage_late").read(DutySettings::parseDuration, DEFAULT_LATE_MILLIS));
    }

    /** Parses a duration above zero, which may be a fraction of seconds. */
    private static long parseDuration(String text) {
        String value = text.strip();
        long millis =
                value.contains(".") && value.endsWith("s") && !value.endsWith("ms")
                        ? Math.round(
                                SECOND_MILLIS
                                        * Double.parseDouble(
                                                value.substring(0, value.length() - 1)))
                        : ValueParser.parseMillis(value);
        checkArgument(millis > 0, "is not above zero: '%s'", text);
        return millis;
    }

    private static double parseRate(String text) {
        double rate = Double.parseDouble(text);
        checkArgument(rate > 0 && Double.isFinite(rate), "not a rate above zero: '%s'", text);
        return rate;
    }

    private static boolean parseBoolean(String text) {
        checkArgument(text.equals("true") || text.equals("false"), "not true or false: '%s'", text);
        return text.equals("true");
    }
}
