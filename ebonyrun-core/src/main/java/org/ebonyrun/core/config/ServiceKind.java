package org.ebonyrun.core.config;

/** The kind of a service's endpoints. */
public enum ServiceKind {
    /** Inference engines that stream completions and load weight versions. */
    ENGINE,
    /** Plain HTTP services. */
    PLAIN
}
