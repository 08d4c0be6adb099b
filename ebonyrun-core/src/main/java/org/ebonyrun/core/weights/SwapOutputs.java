package org.ebonyrun.core.weights;

/**
 * Performs the actions that the agent's {@link SwapMachine} decides on. Called on the swap event
 * loop; must not block.
 */
public interface SwapOutputs {
    /** Sends a message to the entry on the given link. */
    void send(long link, WeightMessage message);

    /** Starts loading a version into the endpoint; the outcome comes back as an event. */
    void load(long version, long fence, String source);

    /** Reports to the attempt event loop whether a swap is in progress. */
    void setSwapping(boolean swapping);
}
