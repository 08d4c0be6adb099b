package org.ebonyrun.core.swap;

/** What happens to the runs of an endpoint that loads another weight version. */
public enum SwapMode {
    /** They go on under the new version. */
    KEEP,
    /** They finish first. */
    WAIT
}
