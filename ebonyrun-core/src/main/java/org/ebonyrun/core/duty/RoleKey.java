package org.ebonyrun.core.duty;

/** Whom the key of the role names, as this process last saw it. */
public enum RoleKey {
    /** The key is absent. */
    ABSENT,

    /** Another VM holds the role. */
    OTHER,

    /** An earlier process of this VM wrote the key. */
    EARLIER_PROCESS,

    /** This process wrote the key, under its present lease. */
    OWN
}
