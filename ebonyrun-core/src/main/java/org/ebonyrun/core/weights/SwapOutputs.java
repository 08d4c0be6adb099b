package org.ebonyrun.core.weights;

/** What an agent's weight duty does to the world. Called on the duty's thread; must not block. */
public interface SwapOutputs {
    /** Answers the entry on the given link. */
    void send(long link, WeightMessage message);

    /** Has the endpoint load a version; the outcome comes back as an event. */
    void load(long version, long fence, String source);

    /** Tells the attempt duty whether a swap is under way. */
    void setSwapping(boolean swapping);
}
