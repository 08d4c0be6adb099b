package org.ebonyrun.core.stream;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.Sets;
import java.util.Set;

/**
 * The software versions at which streams of a service may have begun, as the shared store has them.
 *
 * <p>Immutable and thread safe.
 *
 * @param announced the versions
 * @param absent those of them which an entry has found without endpoints; no stream begins at such
 *     a version before it is announced again
 */
public record SoftwareVersions(Set<String> announced, Set<String> absent) {
    /** No version. */
    public static final SoftwareVersions NONE = of(Set.of());

    /** Checks that absent versions are announced, and copies both sets. */
    public SoftwareVersions {
        announced = Set.copyOf(announced);
        absent = Set.copyOf(absent);
        checkArgument(
                announced.containsAll(absent),
                "absent versions %s are not all among %s",
                absent,
                announced);
    }

    /** Returns versions that all have endpoints. */
    public static SoftwareVersions of(Set<String> announced) {
        return new SoftwareVersions(announced, Set.of());
    }

    /** Returns whether streams may begin at a version. */
    boolean allows(String version) {
        return announced.contains(version) && !absent.contains(version);
    }

    /** Returns these versions and another, at which streams may begin. */
    SoftwareVersions with(String version) {
        return new SoftwareVersions(
                Sets.union(announced, Set.of(version)), Sets.difference(absent, Set.of(version)));
    }

    /** Returns these versions with some counted as absent. */
    SoftwareVersions withAbsent(Set<String> versions) {
        return new SoftwareVersions(announced, Sets.union(absent, versions));
    }

    /** Returns these versions without some. */
    SoftwareVersions without(Set<String> versions) {
        return new SoftwareVersions(
                Sets.difference(announced, versions), Sets.difference(absent, versions));
    }
}
