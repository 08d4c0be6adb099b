package org.ebonyrun.core.config;

/** What the configuration duty does to the world. Called on the duty's thread. */
public interface ConfigOutputs {
    /** Sends a message to one peer, identified by its link number. */
    void send(long link, ConfigMessage message);

    /**
     * Announces a newly adopted configuration to every other duty; peers hear of its version with
     * the next heartbeats.
     */
    void onConfigAdopted(OperatorConfig config, String text);
}
