package org.ebonyrun.core.config;

import org.ebonyrun.base.wire.Message;

/** Messages that distribute the operators' configuration between processes. Immutable. */
public sealed interface ConfigMessage extends Message {
    /**
     * Requests a peer's configuration.
     *
     * @param knownVersion the version that the sender has
     */
    record ConfigRequest(long knownVersion) implements ConfigMessage {}

    /**
     * Carries a configuration.
     *
     * @param version the version of the configuration
     * @param text the YAML text
     */
    record ConfigUpdate(long version, String text) implements ConfigMessage {}
}
