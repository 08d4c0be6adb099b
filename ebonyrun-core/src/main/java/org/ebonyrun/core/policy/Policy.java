package org.ebonyrun.core.policy;

import java.util.EnumSet;
import java.util.Set;

/**
 * Which mechanisms are used: for each, true or false.
 *
 * <p>Immutable and thread safe.
 *
 * @param off the mechanisms that are left out
 */
public record Policy(Set<Mechanism> disabled) {
    /** Every mechanism is used. */
    public static final Policy ALL = new Policy(Set.of());

    /** Copies the set. */
    public Policy {
        disabled = Set.copyOf(disabled);
    }

    /** Returns whether a mechanism is used. */
    public boolean isEnabled(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }

    /** Returns the same policy without a mechanism. */
    public Policy without(Mechanism mechanism) {
        EnumSet<Mechanism> more = EnumSet.of(mechanism);
        more.addAll(disabled);
        return new Policy(more);
    }
}
