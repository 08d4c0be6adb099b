package org.ebonyrun.daemon.hosted;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.ebonyrun.core.settings.SettingsNode;
import org.ebonyrun.core.settings.ValueParser;
import org.ebonyrun.core.workspace.AdmissionPolicy;
import org.ebonyrun.ports.http.ConnectionLimit;

/**
 * Limits of a deployment; all times are in milliseconds.
 *
 * @param orderQuietPeriodMillis how long a weight order of another planner may still take effect
 * @param gracePeriodMillis the longest time that a graceful stop may take
 * @param retentionMillis how long the results of a step are kept after its submission
 * @param configDelayMillis the longest time until a changed configuration takes effect
 * @param leavingDelayMillis the longest time until a draining endpoint gets no more work
 * @param catchUpMillis the longest time until an entry that was cut off from the shared store is up
 *     to date again
 * @param storeWritesPerSecond how many writes the shared store takes from all entries together
 * @param strictKeys whether keys are refused once the store has been silent for {@code
 *     keysSilenceMillis}
 * @param keysSilenceMillis how long the store may be silent before keys may have been withdrawn
 *     unnoticed
 * @param extraWork how many hedged attempts may be sent for each answered call; empty for no limit
 * @param descriptors how many descriptors the process may open
 * @param heartbeatMillis the interval at which endpoints renew their records in the shared store
 */
public record EntryLimits(
        long orderQuietPeriodMillis,
        long gracePeriodMillis,
        long retentionMillis,
        long configDelayMillis,
        long leavingDelayMillis,
        long catchUpMillis,
        double storeWritesPerSecond,
        boolean strictKeys,
        long keysSilenceMillis,
        OptionalDouble extraWork,
        int descriptors,
        long heartbeatMillis) {
    private static final double MAX_EXTRA_WORK = 0.5;
    private static final long DEFAULT_KEYS_SILENCE_MILLIS = 5_000;
    // Used where the operating system does not tell its limit.
    private static final int DEFAULT_DESCRIPTORS = 4_096;
    private static final long DEFAULT_HEARTBEAT_MILLIS = 1_200;

    /** The defaults for limits that the settings omit. */
    public static final EntryLimits DEFAULT =
            new EntryLimits(3_000, 8_000, 120_000, 2_000, 2_000, 3_000, 400);

    /** Checks that delays and rates are positive, and that the extra work is a share. */
    public EntryLimits {
        checkArgument(
                configDelayMillis > 0, "config_within is not positive: %s", configDelayMillis);
        checkArgument(
                leavingDelayMillis > 0, "leaving_within is not positive: %s", leavingDelayMillis);
        checkArgument(keysSilenceMillis > 0, "keys_silence is not positive: %s", keysSilenceMillis);
        checkArgument(catchUpMillis > 0, "contact_within is not positive: %s", catchUpMillis);
        checkArgument(
                storeWritesPerSecond > 0, "store_writes is not positive: %s", storeWritesPerSecond);
        checkArgument(descriptors > 0, "descriptors is not positive: %s", descriptors);
        checkArgument(heartbeatMillis > 0, "heartbeat is not positive: %s", heartbeatMillis);
        extraWork.ifPresent(
                share ->
                        checkArgument(
                                share >= 0 && share <= MAX_EXTRA_WORK,
                                "extra_work is not between 0 and %s: %s",
                                MAX_EXTRA_WORK,
                                share));
    }

    /**
     * Creates limits with which keys are accepted however long the store is silent, and none on
     * extra work.
     */
    public EntryLimits(
            long orderQuietPeriodMillis,
            long gracePeriodMillis,
            long retentionMillis,
            long configDelayMillis,
            long leavingDelayMillis,
            long catchUpMillis,
            double storeWritesPerSecond) {
        this(
                orderQuietPeriodMillis,
                gracePeriodMillis,
                retentionMillis,
                configDelayMillis,
                leavingDelayMillis,
                catchUpMillis,
                storeWritesPerSecond,
                false,
                DEFAULT_KEYS_SILENCE_MILLIS,
                OptionalDouble.empty(),
                DEFAULT_DESCRIPTORS,
                DEFAULT_HEARTBEAT_MILLIS);
    }

    /** Returns how keys are checked. */
    AdmissionPolicy admission() {
        return new AdmissionPolicy(strictKeys, TimeUnit.MILLISECONDS.toNanos(keysSilenceMillis));
    }

    /** Returns how many connections callers may hold. */
    ConnectionLimit connections() {
        return ConnectionLimit.ofDescriptors(descriptors);
    }

    /** Reads limits; a limit that is missing or unreadable has its default value. */
    static EntryLimits read(SettingsNode node) {
        return new EntryLimits(
                node.get("order_quiet")
                        .read(ValueParser::parseMillis, DEFAULT.orderQuietPeriodMillis),
                node.get("grace").read(ValueParser::parseMillis, DEFAULT.gracePeriodMillis),
                node.get("keep_results").read(ValueParser::parseMillis, DEFAULT.retentionMillis),
                positive(node.get("config_within"), DEFAULT.configDelayMillis),
                positive(node.get("leaving_within"), DEFAULT.leavingDelayMillis),
                positive(node.get("contact_within"), DEFAULT.catchUpMillis),
                node.get("store_writes").read(EntryLimits::parseRate, DEFAULT.storeWritesPerSecond),
                node.get("strict_keys").read(HostedSettings::parseBoolean, DEFAULT.strictKeys),
                positive(node.get("keys_silence"), DEFAULT.keysSilenceMillis),
                node.get("extra_work").read(EntryLimits::parseExtraWork, DEFAULT.extraWork),
                readDescriptors(node.get("descriptors")),
                positive(node.get("heartbeat"), DEFAULT.heartbeatMillis));
    }

    /** Returns the limit of the settings or of the operating system, whichever is lower. */
    private static int readDescriptors(SettingsNode node) {
        int configured = node.read(EntryLimits::parseCount, Integer.MAX_VALUE);
        int allowed = DescriptorLimit.read(DEFAULT_DESCRIPTORS);
        return node.isPresent() ? Math.min(configured, allowed) : allowed;
    }

    private static int parseCount(String text) {
        int count = Integer.parseInt(text);
        checkArgument(count > 0, "not a number above zero: '%s'", text);
        return count;
    }

    private static double parseRate(String text) {
        double rate = Double.parseDouble(text);
        checkArgument(rate > 0 && Double.isFinite(rate), "not a rate above zero: '%s'", text);
        return rate;
    }

    private static OptionalDouble parseExtraWork(String text) {
        double share = ValueParser.parsePercentage(text);
        checkArgument(share <= MAX_EXTRA_WORK, "'%s' is more than 50%%", text);
        return OptionalDouble.of(share);
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
