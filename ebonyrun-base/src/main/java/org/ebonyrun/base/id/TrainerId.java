package org.ebonyrun.base.id;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a trainer, which submits steps and pulls their samples.
 *
 * <p>Immutable and thread safe.
 *
 * @param value 1 to 63 letters, digits, dots, underscores or hyphens
 */
public record TrainerId(@JsonValue String value) implements Comparable<TrainerId> {
    /**
     * Checks the name.
     *
     * @throws IllegalArgumentException if the name is malformed
     */
    public TrainerId {
        Names.check("trainer", value);
    }

    /** Returns the identifier with the given name. */
    @JsonCreator
    public static TrainerId of(String value) {
        return new TrainerId(value);
    }

    @Override
    public int compareTo(TrainerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
