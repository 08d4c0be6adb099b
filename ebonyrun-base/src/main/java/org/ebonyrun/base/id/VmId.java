package org.ebonyrun.base.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a VM, and with it the process of this system and the endpoint that run on the VM.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 63 letters, digits, dots, underscores or hyphens
 */
public record VmId(@JsonValue String value) implements Comparable<VmId> {
    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public VmId {
        Names.check("vm", value);
    }

    /** Returns the identifier with the given name. */
    @JsonCreator
    public static VmId of(String value) {
        return new VmId(value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
