package org.ebonyrun.daemon;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.settings.Problem;
import org.ebonyrun.core.settings.SettingsNode;
import org.ebonyrun.core.settings.ValueParser;
import org.jspecify.annotations.Nullable;

/**
 * The settings of one daemon.
 *
 * <p>Immutable and thread safe.
 *
 * @param role {@code entry} or {@code endpoint}
 * @param vm the VM on which the daemon runs
 * @param failureDomain the failure domain of the VM
 * @param linkListen the address on which the daemon listens for links
 * @param httpListen the address on which the daemon serves HTTP to operators and, if it is an
 *     entry, to callers and trainers
 * @param platform the addresses of the platform's services
 * @param service the service of the endpoint; null at an entry
 * @param endpoint the address of the endpoint; null at an entry
 * @param engine whether the endpoint is a model engine
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param maxHeldBytes the total size of finished samples held by an agent, in bytes, above which it
 *     starts no further samples
 * @param entriesPerEndpoint the number of entries that connect to each endpoint; must be equal at
 *     all entries
 * @param drainMillis the maximum duration of a graceful shutdown, in milliseconds
 */
public record DaemonSettings(
        String role,
        VmId vm,
        FailureDomain failureDomain,
        ListenAddress linkListen,
        ListenAddress httpListen,
        PlatformAddresses platform,
        @Nullable ServiceName service,
        @Nullable URI endpoint,
        boolean engine,
        int maxBodyBytes,
        long maxHeldBytes,
        int entriesPerEndpoint,
        long drainMillis) {
    /** The role of an entry. */
    public static final String ROLE_ENTRY = "entry";

    /** The role of an agent beside an endpoint. */
    public static final String ROLE_ENDPOINT = "endpoint";

    private static final int DEFAULT_BODY_BYTES = 1 << 20;
    private static final long DEFAULT_HELD_BYTES = 32L << 20;
    private static final int DEFAULT_ENTRIES_PER_ENDPOINT = 4;
    private static final long DEFAULT_DRAIN_MILLIS = 60_000;
    private static final Set<String> ROOT_KEYS =
            Set.of("role", "vm", "failure_domain", "listen", "platform", "endpoint", "limits");
    private static final Set<String> LIMIT_KEYS =
            Set.of("body", "held_samples", "entries_per_endpoint", "drain");

    /**
     * An address to listen on.
     *
     * @param host the IP address
     * @param port the port; zero lets the operating system choose
     */
    public record ListenAddress(String host, int port) {
        /**
         * Parses {@code host:port}.
         *
         * @throws IllegalArgumentException if the text has another form
         */
        public static ListenAddress parse(String text) {
            int colon = text.lastIndexOf(':');
            if (colon <= 0) {
                throw new IllegalArgumentException(
                        "'" + text + "' is not an address; write for example 10.0.0.5:7100");
            }
            int port = ValueParser.parseCount(text.substring(colon + 1));
            if (port > 65_535) {
                throw new IllegalArgumentException("port " + port + " is above 65535");
            }
            return new ListenAddress(text.substring(0, colon), port);
        }
    }

    /**
     * Addresses of the platform's services.
     *
     * @param keyValue the key-value service
     * @param vms the list of VMs
     * @param weights the weight store
     */
    public record PlatformAddresses(URI keyValue, URI vms, URI weights) {}

    /**
     * Settings and the problems found in them.
     *
     * @param settings the settings, with defaults in place of missing or invalid values
     * @param problems all problems found; empty if the settings are valid
     */
    public record Parsed(DaemonSettings settings, List<Problem> problems) {}

    /** Returns whether the daemon is an entry. */
    public boolean isEntry() {
        return role.equals(ROLE_ENTRY);
    }

    /** Parses settings and reports all problems in them. */
    public static Parsed parse(String file, String text) {
        List<Problem> problems = new ArrayList<>();
        SettingsNode root = SettingsNode.parse(file, text, problems);
        if (problems.isEmpty() && !root.isPresent()) {
            root.addProblem("is empty; role, vm, failure_domain, listen and platform are needed");
        }
        root.checkKeys(ROOT_KEYS);
        String role = root.get("role").requireText(ROLE_ENTRY);
        if (!role.equals(ROLE_ENTRY) && !role.equals(ROLE_ENDPOINT)) {
            root.get("role").addProblem("'" + role + "' is not a role; write entry or endpoint");
        }
        SettingsNode limits = root.get("limits");
        limits.checkKeys(LIMIT_KEYS);
        SettingsNode endpoint = root.get("endpoint");
        boolean atEndpoint = role.equals(ROLE_ENDPOINT);
        checkEndpoint(endpoint, atEndpoint);
        DaemonSettings settings =
                new DaemonSettings(
                        role,
                        readRequired(root.get("vm"), VmId::of, VmId.of("unknown")),
                        readRequired(
                                root.get("failure_domain"),
                                FailureDomain::of,
                                FailureDomain.of("unknown")),
                        readListen(root.get("listen").get("link")),
                        readListen(root.get("listen").get("http")),
                        readPlatform(root.get("platform")),
                        atEndpoint
                                ? readRequired(
                                        endpoint.get("service"),
                                        ServiceName::of,
                                        ServiceName.of("unknown"))
                                : null,
                        atEndpoint ? readUri(endpoint.get("address")) : null,
                        endpoint.get("kind").text("engine").equals("engine"),
                        (int)
                                (long)
                                        limits.get("body")
                                                .read(
                                                        ValueParser::parseBytes,
                                                        (long) DEFAULT_BODY_BYTES),
                        limits.get("held_samples")
                                .read(ValueParser::parseBytes, DEFAULT_HELD_BYTES),
                        limits.get("entries_per_endpoint")
                                .read(ValueParser::parseCount, DEFAULT_ENTRIES_PER_ENDPOINT),
                        limits.get("drain").read(ValueParser::parseMillis, DEFAULT_DRAIN_MILLIS));
        root.get("listen").checkKeys(Set.of("link", "http"));
        return new Parsed(settings, List.copyOf(problems));
    }

    private static void checkEndpoint(SettingsNode endpoint, boolean atEndpoint) {
        if (!atEndpoint) {
            if (endpoint.isPresent()) {
                endpoint.addProblem("does not belong here; only the role endpoint has it");
            }
            return;
        }
        endpoint.checkKeys(Set.of("service", "kind", "address"));
        String kind = endpoint.get("kind").requireText("engine");
        if (!kind.equals("engine") && !kind.equals("plain")) {
            endpoint.get("kind").addProblem("'" + kind + "' is not a kind; write engine or plain");
        }
    }

    private static PlatformAddresses readPlatform(SettingsNode node) {
        node.checkKeys(Set.of("key_value", "vms", "weights"));
        return new PlatformAddresses(
                readUri(node.get("key_value")),
                readUri(node.get("vms")),
                readUri(node.get("weights")));
    }

    private static ListenAddress readListen(SettingsNode node) {
        return readRequired(node, ListenAddress::parse, new ListenAddress("127.0.0.1", 0));
    }

    private static URI readUri(SettingsNode node) {
        return readRequired(node, DaemonSettings::parseUri, URI.create("http://127.0.0.1:1"));
    }

    private static URI parseUri(String text) {
        URI uri = URI.create(text);
        if (!"http".equals(uri.getScheme()) || uri.getHost() == null) {
            throw new IllegalArgumentException(
                    "'" + text + "' is not an address; write for example http://10.0.0.5:7000");
        }
        return uri;
    }

    private static <T> T readRequired(SettingsNode node, Function<String, T> parser, T fallback) {
        if (!node.isPresent()) {
            node.addProblem("is missing");
        }
        return node.read(parser, fallback);
    }
}
