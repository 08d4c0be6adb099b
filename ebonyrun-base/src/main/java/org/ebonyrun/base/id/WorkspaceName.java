package org.ebonyrun.base.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a workspace: the callers and trainers who share a set of keys.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 63 letters, digits, dots, underscores or hyphens
 */
public record WorkspaceName(@JsonValue String value) implements Comparable<WorkspaceName> {
    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public WorkspaceName {
        Names.check("workspace", value);
    }

    /** Returns the identifier with the given name. */
    @JsonCreator
    public static WorkspaceName of(String value) {
        return new WorkspaceName(value);
    }

    @Override
    public int compareTo(WorkspaceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
