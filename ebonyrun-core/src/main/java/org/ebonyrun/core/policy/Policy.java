package org.ebonyrun.core.policy;

import java.util.EnumSet;
import java.util.Set;

/**
 * The set of mechanisms that are enabled.
 *
 * <p>Immutable and thread safe.
 *
 * @param disabled the mechanisms that are disabled
 */
public record Policy(Set<Mechanism> disabled) {
    /** All mechanisms are enabled. */
    public static final Policy ALL = new Policy(Set.of());

    /** Copies the set. */
    public Policy {
        disabled = Set.copyOf(disabled);
    }

    /** Returns whether a mechanism is enabled. */
    public boolean isEnabled(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }

    /** Returns a copy of this policy with a mechanism disabled as well. */
    public Policy without(Mechanism mechanism) {
        EnumSet<Mechanism> allDisabled = EnumSet.of(mechanism);
        allDisabled.addAll(disabled);
        return new Policy(allDisabled);
    }
}
