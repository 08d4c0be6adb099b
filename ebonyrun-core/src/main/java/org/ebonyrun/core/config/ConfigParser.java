package org.ebonyrun.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.settings.Problem;
import org.ebonyrun.core.settings.SettingsNode;
import org.ebonyrun.core.settings.ValueParser;
import org.jspecify.annotations.Nullable;

/**
 * Parses the operators' configuration and checks all of it.
 *
 * <p>Not thread safe; one parser reads one file.
 */
public final class ConfigParser {
    private static final Set<String> ROOT_KEYS = Set.of("services", "classes");
    private static final Set<String> SERVICE_KEYS = Set.of("kind");
    private static final Set<String> CLASS_KEYS =
            Set.of(
                    "service",
                    "kind",
                    "lateness",
                    "idempotent",
                    "staleness",
                    "trainer_idle",
                    "scored_by");
    private static final Set<String> LATENESS_KEYS = Set.of("quantile", "within");
    private static final Set<String> DISALLOWED_TUNING_KEYS =
            Set.of("weight", "weights", "priority", "priorities", "address", "addresses", "share");
    private static final String INVALID_NAME = "invalid";

    private final List<Problem> mProblems = new ArrayList<>();
    private final Map<ServiceName, ServiceSpec> mServices = new LinkedHashMap<>();
    private final Map<ClassName, ClassSpec> mClasses = new LinkedHashMap<>();

    private ConfigParser() {}

    /** Parses a file. The configuration is valid if the list of problems is empty. */
    public static Parsed parse(String file, String text, long version) {
        ConfigParser parser = new ConfigParser();
        SettingsNode root = SettingsNode.parse(file, text, parser.mProblems);
        if (parser.mProblems.isEmpty()) {
            parser.readRoot(root);
        }
        OperatorConfig config = new OperatorConfig(version, parser.mServices, parser.mClasses);
        return new Parsed(config, List.copyOf(parser.mProblems));
    }

    /**
     * A configuration and its problems.
     *
     * @param config the part of the configuration that could be parsed
     * @param problems all problems found; empty for a valid configuration
     */
    public record Parsed(OperatorConfig config, List<Problem> problems) {
        /** Returns whether the configuration may be accepted. */
        public boolean isValid() {
            return problems.isEmpty();
        }
    }

    private void readRoot(SettingsNode root) {
        if (!root.isPresent()) {
            root.addProblem("is empty; services and classes are needed");
            return;
        }
        checkKeys(root, ROOT_KEYS);
        root.get("services").children().forEach(this::readService);
        root.get("classes").children().forEach(this::readClass);
        if (root.get("services").children().isEmpty()) {
            root.get("services").addProblem("needs at least one service");
        }
        if (root.get("classes").children().isEmpty()) {
            root.get("classes").addProblem("needs at least one class");
        }
    }

    private void readService(String key, SettingsNode node) {
        checkKeys(node, SERVICE_KEYS);
        @Nullable ServiceName name = parseServiceName(node, key);
        ServiceKind kind = node.get("kind").read(ConfigParser::parseServiceKind, ServiceKind.PLAIN);
        if (!node.get("kind").isPresent()) {
            node.addProblem("kind is missing; write engine or plain");
        }
        if (name != null) {
            mServices.put(name, new ServiceSpec(name, kind));
        }
    }

    private void readClass(String key, SettingsNode node) {
        checkKeys(node, CLASS_KEYS);
        int problemsBefore = mProblems.size();
        ClassName name = parseClassName(node, key);
        ClassKind kind = node.get("kind").read(ConfigParser::parseClassKind, ClassKind.BACKGROUND);
        if (!node.get("kind").isPresent()) {
            node.addProblem("kind is missing; write interactive, background or rollout");
        }
        @Nullable ServiceSpec service = resolveService(node.get("service"), true);
        @Nullable ServiceSpec scorer = resolveService(node.get("scored_by"), false);
        SettingsNode lateness = node.get("lateness");
        lateness.checkKeys(LATENESS_KEYS);
        double quantile = lateness.get("quantile").read(ValueParser::parseQuantile, 0.0);
        long within = lateness.get("within").read(ValueParser::parseMillis, 0L);
        long staleness = node.get("staleness").read(ValueParser::parseVersions, 0L);
        long idle = node.get("trainer_idle").read(ValueParser::parseMillis, 0L);
        boolean idempotent = node.get("idempotent").read(ValueParser::parseBoolean, true);
        checkTargets(node, kind, service);
        if (service != null && mProblems.size() == problemsBefore) {
            mClasses.put(
                    name,
                    new ClassSpec(
                            name,
                            service.name(),
                            kind,
                            quantile,
                            within,
                            idempotent,
                            staleness,
                            idle,
                            scorer == null ? null : scorer.name()));
        }
    }

    private static void checkTargets(
            SettingsNode node, ClassKind kind, @Nullable ServiceSpec service) {
        if (kind == ClassKind.ROLLOUT) {
            requireKey(node, "staleness", "write for example '2 versions'");
            requireKey(node, "trainer_idle", "write for example '5s'");
            forbidKey(node, "lateness", "a rollout states staleness and trainer_idle");
            if (service != null && service.kind() != ServiceKind.ENGINE) {
                node.get("service").addProblem("a rollout needs a service of kind engine");
            }
            return;
        }
        requireKey(node, "lateness", "write for example {quantile: 0.99, within: 800ms}");
        if (node.get("lateness").isPresent()) {
            requireKey(node.get("lateness"), "quantile", "write for example 0.99");
            requireKey(node.get("lateness"), "within", "write for example 800ms");
        }
        for (String key : List.of("staleness", "trainer_idle", "scored_by")) {
            forbidKey(node, key, "only a class of kind rollout has it");
        }
    }

    private static void requireKey(SettingsNode node, String key, String hint) {
        if (!node.get(key).isPresent()) {
            node.get(key).addProblem("is missing; " + hint);
        }
    }

    private static void forbidKey(SettingsNode node, String key, String hint) {
        if (node.get(key).isPresent()) {
            node.get(key).addProblem("does not belong here; " + hint);
        }
    }

    private static void checkKeys(SettingsNode node, Set<String> allowed) {
        node.children()
                .forEach(
                        (key, child) -> {
                            if (DISALLOWED_TUNING_KEYS.contains(key)) {
                                child.addProblem(
                                        "is decided by the system; state targets instead"
                                                + " (lateness, staleness, trainer_idle)");
                            } else if (!allowed.contains(key)) {
                                child.addProblem(
                                        "unknown key; allowed here: "
                                                + String.join(
                                                        ", ", allowed.stream().sorted().toList()));
                            }
                        });
    }

    private @Nullable ServiceSpec resolveService(SettingsNode node, boolean required) {
        if (!node.isPresent()) {
            if (required) {
                node.addProblem("is missing; name one of the services");
            }
            return null;
        }
        @Nullable ServiceName name = parseServiceName(node, node.text(INVALID_NAME));
        ServiceSpec found = name == null ? null : mServices.get(name);
        if (name != null && found == null) {
            node.addProblem("no service is called '" + name + "'; known: " + mServices.keySet());
        }
        return found;
    }

    private static @Nullable ServiceName parseServiceName(SettingsNode node, String text) {
        try {
            return ServiceName.of(text);
        } catch (IllegalArgumentException e) {
            node.addProblem(String.valueOf(e.getMessage()));
            return null;
        }
    }

    private static ClassName parseClassName(SettingsNode node, String text) {
        try {
            return ClassName.of(text);
        } catch (IllegalArgumentException e) {
            node.addProblem(String.valueOf(e.getMessage()));
            return ClassName.of(INVALID_NAME);
        }
    }

    private static ServiceKind parseServiceKind(String text) {
        return parseConstant(ServiceKind.class, text);
    }

    private static ClassKind parseClassKind(String text) {
        return parseConstant(ClassKind.class, text);
    }

    private static <E extends Enum<E>> E parseConstant(Class<E> type, String text) {
        for (E value : type.getEnumConstants()) {
            if (value.name().toLowerCase(Locale.ROOT).equals(text)) {
                return value;
            }
        }
        List<String> names = new ArrayList<>();
        for (E value : type.getEnumConstants()) {
            names.add(value.name().toLowerCase(Locale.ROOT));
        }
        throw new IllegalArgumentException("'" + text + "' is not one of " + names);
    }
}
