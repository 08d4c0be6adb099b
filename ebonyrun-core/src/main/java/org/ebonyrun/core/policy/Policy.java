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
public record Policy(Set<Mechanism> off) {
    /** Every mechanism is used. */
    public static final Policy ALL = new Policy(Set.of());

    /** Copies the set. */
    public Policy {
        off = Set.copyOf(off);
    }

    /** Returns whether a mechanism is used. */
    public boolean uses(Mechanism mechanism) {
        return !off.contains(mechanism);
    }

    /** Returns the same policy without a mechanism. */
    public Policy without(Mechanism mechanism) {
        EnumSet<Mechanism> more = EnumSet.of(mechanism);
        more.addAll(off);
        return new Policy(more);
    }
}
