package org.ebonyrun.core.config;

/** What a service's endpoints are. */
public enum ServiceKind {
    /** Model engines that stream completions and carry weight versions. */
    ENGINE,
    /** Plain HTTP services. */
    PLAIN
}
