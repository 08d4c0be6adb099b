package org.ebonyrun.core.swap;

import org.ebonyrun.core.fleet.Endpoint;

/** Carries out what a {@link SwapMachine} decides. Called on the machine's thread. */
public interface SwapOutputs {
    /** Asks an endpoint for its state. */
    void inspect(Endpoint endpoint);

    /** Gives an order to an endpoint. */
    void order(Endpoint endpoint, SwapOrder order);

    /** Notes that an endpoint refused this planner's fence, so that another one is in charge. */
    void onFenced(long fence);
}
