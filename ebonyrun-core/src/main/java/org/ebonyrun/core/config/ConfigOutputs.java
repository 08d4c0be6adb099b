package org.ebonyrun.core.config;

/**
 * Performs the actions that {@link ConfigMachine} decides on. Called on the configuration event
 * loop.
 */
public interface ConfigOutputs {
    /** Sends a message to the peer on the link with the given number. */
    void send(long link, ConfigMessage message);

    /**
     * Passes a newly adopted configuration to the other event loops. Peers receive its version on
     * the next heartbeats.
     */
    void onConfigAdopted(OperatorConfig config, String text);
}
