package org.ebonyrun.daemon.hosted;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.core.settings.SettingsNode;
import org.ebonyrun.core.settings.ValueParser;

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
        long orderQuietPeriodMillis,
        long gracePeriodMillis,
        long retentionMillis,
        long configDelayMillis,
        long leavingDelayMillis,
        long catchUpMillis) {
    /** What holds where the settings say nothing. */
    public static final EntryLimits DEFAULT =
            new EntryLimits(3_000, 8_000, 120_000, 2_000, 2_000, 3_000);

    /** Checks the limits. */
    public EntryLimits {
        checkArgument(
                configDelayMillis > 0, "config_within is not positive: %s", configDelayMillis);
        checkArgument(
                leavingDelayMillis > 0, "leaving_within is not positive: %s", leavingDelayMillis);
        checkArgument(catchUpMillis > 0, "contact_within is not positive: %s", catchUpMillis);
    }

    /** Reads limits; what is missing or can't be read has its default. */
    static EntryLimits read(SettingsNode node) {
        return new EntryLimits(
                node.get("order_quiet")
                        .read(ValueParser::parseMillis, DEFAULT.orderQuietPeriodMillis),
                node.get("grace").read(ValueParser::parseMillis, DEFAULT.gracePeriodMillis),
                node.get("keep_results").read(ValueParser::parseMillis, DEFAULT.retentionMillis),
                positive(node.get("config_within"), DEFAULT.configDelayMillis),
                positive(node.get("leaving_within"), DEFAULT.leavingDelayMillis),
                positive(node.get("contact_within"), DEFAULT.catchUpMillis));
    }

    private static long positive(SettingsNode node, long fallback) {
        long millis = node.read(ValueParser::parseMillis, fallback);
        if (millis <= 0) {
            node.addProblem("is not above zero");
            return fallback;
        }
        return millis;
    }
}
