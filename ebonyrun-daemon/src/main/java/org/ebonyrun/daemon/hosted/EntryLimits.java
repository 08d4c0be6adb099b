package org.ebonyrun.daemon.hosted;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.core.settings.SettingsNode;
import org.ebonyrun.core.settings.Units;

/**
 * Times within which a deployment wants things done, all in milliseconds.
 *
 * @param orderQuietMillis how long orders of another planner count
 * @param graceMillis how long a graceful stop may take
 * @param keepMillis how long the results of a step are kept after its submission
 * @param configMillis within which time a changed configuration is in force
 * @param leavingMillis within which time an endpoint that leaves gets no more work
 * @param contactMillis after which time an entry that was cut off from the store must be up to date
 */
public record EntryLimits(
        long orderQuietMillis,
        long graceMillis,
        long keepMillis,
        long configMillis,
        long leavingMillis,
        long contactMillis) {
    /** What holds where the settings say nothing. */
    public static final EntryLimits DEFAULT =
            new EntryLimits(3_000, 8_000, 120_000, 2_000, 2_000, 3_000);

    /** Checks the limits. */
    public EntryLimits {
        checkArgument(configMillis > 0, "config_within is not positive: %s", configMillis);
        checkArgument(leavingMillis > 0, "leaving_within is not positive: %s", leavingMillis);
        checkArgument(contactMillis > 0, "contact_within is not positive: %s", contactMillis);
    }

    /** Reads limits; what is missing or can't be read has its default. */
    static EntryLimits read(SettingsNode node) {
        return new EntryLimits(
                node.get("order_quiet").read(Units::millis, DEFAULT.orderQuietMillis),
                node.get("grace").read(Units::millis, DEFAULT.graceMillis),
                node.get("keep_results").read(Units::millis, DEFAULT.keepMillis),
                positive(node.get("config_within"), DEFAULT.configMillis),
                positive(node.get("leaving_within"), DEFAULT.leavingMillis),
                positive(node.get("contact_within"), DEFAULT.contactMillis));
    }

    private static long positive(SettingsNode node, long fallback) {
        long millis = node.read(Units::millis, fallback);
        if (millis <= 0) {
            node.problem("is not above zero");
            return fallback;
        }
        return millis;
    }
}
