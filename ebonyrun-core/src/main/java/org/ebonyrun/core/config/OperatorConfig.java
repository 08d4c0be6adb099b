package org.ebonyrun.core.config;

import java.util.Map;
import java.util.Optional;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.ServiceName;

/**
 * One accepted version of the operators' configuration.
 *
 * <p>Immutable and thread safe.
 *
 * @param version the version, which never decreases; zero before the first configuration
 * @param services all services
 * @param classes all classes of work
 */
public record OperatorConfig(
        long version, Map<ServiceName, ServiceSpec> services, Map<ClassName, ClassSpec> classes) {
    /** Makes unmodifiable copies of the maps. */
    public OperatorConfig {
        services = Map.copyOf(services);
        classes = Map.copyOf(classes);
    }

    /** Returns the configuration of a process that has not received one yet. */
    public static OperatorConfig empty() {
        return new OperatorConfig(0, Map.of(), Map.of());
    }

    /** Returns the class with the given name. */
    public Optional<ClassSpec> classSpec(ClassName name) {
        return Optional.ofNullable(classes.get(name));
    }

    /** Returns the service with the given name. */
    public Optional<ServiceSpec> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }
}
