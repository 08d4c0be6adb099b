package org.ebonyrun.base.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a set of VMs that can fail together.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 63 letters, digits, dots, underscores or hyphens
 */
public record FailureDomain(@JsonValue String value) implements Comparable<FailureDomain> {
    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public FailureDomain {
        Names.check("failure domain", value);
    }

    /** Returns the identifier with the given name. */
    @JsonCreator
    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
