package org.ebonyrun.base.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a group of endpoints that serve the same requests.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 63 letters, digits, dots, underscores or hyphens
 */
public record ServiceName(@JsonValue String value) implements Comparable<ServiceName> {
    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public ServiceName {
        Names.check("service", value);
    }

    /** Returns the identifier with the given name. */
    @JsonCreator
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
