package org.ebonyrun.core.swap;

import org.ebonyrun.core.fleet.Endpoint;

/** Carries out what a {@link SwapMachine} decides. Called on the machine's thread. */
public interface SwapOutputs {
    /** Asks an endpoint for its state. */
    void requestState(Endpoint endpoint);

    /** Gives an order to an endpoint. */
    void sendOrder(Endpoint endpoint, SwapOrder order);

    /** Notes that an endpoint refused this planner's fence, so that another one is in charge. */
    void onFenced(long fence);
}
