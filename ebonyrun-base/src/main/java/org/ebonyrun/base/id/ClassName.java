package org.ebonyrun.base.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a class of work, for which operators configure targets.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 63 letters, digits, dots, underscores or hyphens
 */
public record ClassName(@JsonValue String value) implements Comparable<ClassName> {
    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public ClassName {
        Names.check("class", value);
    }

    /** Returns the identifier with the given name. */
    @JsonCreator
    public static ClassName of(String value) {
        return new ClassName(value);
    }

    @Override
    public int compareTo(ClassName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
