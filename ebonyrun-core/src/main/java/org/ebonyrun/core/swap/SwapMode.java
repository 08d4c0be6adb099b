package org.ebonyrun.core.swap;

/** What happens to the running requests of an endpoint that loads another weight version. */
public enum SwapMode {
    /** They continue under the new version. */
    KEEP,
    /** They finish before the engine loads. */
    WAIT
}
