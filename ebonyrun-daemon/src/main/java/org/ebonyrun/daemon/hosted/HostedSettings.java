package org.ebonyrun.daemon.hosted;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.policy.Mechanism;
import org.ebonyrun.core.policy.Policy;
import org.ebonyrun.core.settings.Problem;
import org.ebonyrun.core.settings.SettingsNode;
import org.ebonyrun.daemon.DaemonSettings;
import org.jspecify.annotations.Nullable;

/**
 * The settings of a hosted entry.
 *
 * <p>Immutable and thread safe.
 *
 * @param vm the VM on which the entry runs
 * @param domain the failure domain of the VM
 * @param front the listening address for callers and trainers
 * @param ready the listening address for readiness probes
 * @param metrics the listening address for metric scrapes
 * @param store the address of the shared store
 * @param firstStart whether the deployment starts for the first time, so no earlier planner exists
 * @param limits the time limits of the deployment
 * @param policy which mechanisms are enabled
 * @param duties the duties that one entry performs for all; null if there are none
 */
public record HostedSettings(
        VmId vm,
        FailureDomain domain,
        InetSocketAddress front,
        InetSocketAddress ready,
        InetSocketAddress metrics,
        InetSocketAddress store,
        boolean firstStart,
        EntryLimits limits,
        Policy policy,
        @Nullable DutySettings duties) {
    /** The role of a hosted entry. */
    public static final String ROLE = "hosted-entry";

    /** The role of a process that only waits, without any work. */
    public static final String ROLE_RESERVE = "reserve";

    private static final Set<String> KEYS =
            Set.of(
                    "role",
                    "vm",
                    "failure_domain",
                    "listen",
                    "store",
                    "first_start",
                    "limits",
                    "policy",
                    "duties");
    private static final Set<String> LIMIT_KEYS =
            Set.of(
                    "order_quiet",
                    "grace",
                    "keep_results",
                    "config_within",
                    "leaving_within",
                    "contact_within",
                    "heartbeat",
                    "store_writes",
                    "strict_keys",
                    "keys_silence",
                    "extra_work",
                    "descriptors");

    /**
     * The result of parsing settings.
     *
     * @param settings the settings, with placeholders for values that could not be read
     * @param problems all problems found; empty for valid settings
     */
    public record Parsed(HostedSettings settings, List<Problem> problems) {}

    /** Parses settings and reports all problems in them. */
    public static Parsed parse(String file, String text) {
        List<Problem> problems = new ArrayList<>();
        SettingsNode root = SettingsNode.parse(file, text, problems);
        root.checkKeys(KEYS);
        SettingsNode listen = root.get("listen");
        listen.checkKeys(Set.of("front", "ready", "metrics"));
        SettingsNode limits = root.get("limits");
        limits.checkKeys(LIMIT_KEYS);
        HostedSettings settings =
                new HostedSettings(
                        required(root.get("vm"), VmId::of, VmId.of("unknown")),
                        required(
                                root.get("failure_domain"),
                                FailureDomain::of,
                                FailureDomain.of("unknown")),
                        address(listen.get("front")),
                        address(listen.get("ready")),
                        address(listen.get("metrics")),
                        address(root.get("store")),
                        root.get("first_start").text("false").equals("true"),
                        EntryLimits.read(limits),
                        policy(root.get("policy")),
                        DutySettings.read(root.get("duties")));
        return new Parsed(settings, List.copyOf(problems));
    }

    /**
     * Returns whether the other settings differ from these at most in the limits and in {@code
     * firstStart}, which matters at the start only, so that they need no restart.
     */
    boolean isSameExceptLimits(HostedSettings other) {
        return vm.equals(other.vm)
                && domain.equals(other.domain)
                && front.equals(other.front)
                && ready.equals(other.ready)
                && metrics.equals(other.metrics)
                && store.equals(other.store)
                && policy.equals(other.policy)
                && Objects.equals(duties, other.duties);
    }

    /** Returns these settings with the limits of the other ones. */
    HostedSettings withLimitsOf(HostedSettings other) {
        return new HostedSettings(
                vm, domain, front, ready, metrics, store, firstStart, other.limits, policy, duties);
    }

    private static Policy policy(SettingsNode node) {
        Map<String, Mechanism> mechanisms = new TreeMap<>();
        for (Mechanism mechanism : Mechanism.values()) {
            mechanisms.put(mechanism.settingKey(), mechanism);
        }
        node.checkKeys(mechanisms.keySet());
        Policy policy = Policy.ALL;
        for (Map.Entry<String, Mechanism> entry : mechanisms.entrySet()) {
            if (!node.get(entry.getKey()).read(HostedSettings::parseBoolean, true)) {
                policy = policy.without(entry.getValue());
            }
        }
        return policy;
    }

    static boolean parseBoolean(String text) {
        checkArgument(text.equals("true") || text.equals("false"), "not true or false: '%s'", text);
        return text.equals("true");
    }

    private static InetSocketAddress address(SettingsNode node) {
        DaemonSettings.ListenAddress listen =
                required(
                        node,
                        DaemonSettings.ListenAddress::parse,
                        new DaemonSettings.ListenAddress("127.0.0.1", 0));
        return new InetSocketAddress(listen.host(), listen.port());
    }

    private static <T> T required(SettingsNode node, Function<String, T> read, T fallback) {
        if (!node.isPresent()) {
            node.addProblem("is missing");
        }
        return node.read(read, fallback);
    }
}
