package org.ebonyrun.core.attempt;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Collection;
import java.util.List;

/**
 * The weight versions that produced a response, in ascending order without duplicates.
 *
 * <p>Immutable and thread safe.
 *
 * @param values the versions; empty if no token was generated or the endpoint has no weights
 */
public record WeightVersions(@JsonValue List<Long> values) {
    /** Copies the versions, sorted and without duplicates. */
    public WeightVersions {
        values = values.stream().sorted().distinct().toList();
    }

    /** Returns a copy of the versions in {@code values}. */
    @JsonCreator
    public static WeightVersions copyOf(Collection<Long> values) {
        return new WeightVersions(List.copyOf(values));
    }

    /** Returns an empty set of versions. */
    public static WeightVersions none() {
        return new WeightVersions(List.of());
    }

    /** Returns the oldest version, or zero if there is none. */
    public long oldest() {
        return values.isEmpty() ? 0 : values.get(0);
    }
}
