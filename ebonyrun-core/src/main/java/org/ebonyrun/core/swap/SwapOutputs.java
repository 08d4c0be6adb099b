package org.ebonyrun.core.swap;

import org.ebonyrun.core.fleet.Endpoint;

/**
 * Performs the actions that the planner's {@link SwapMachine} decides on, on the machine's thread.
 */
public interface SwapOutputs {
    /** Requests an endpoint's state, which arrives as an event. */
    void requestState(Endpoint endpoint);

    /** Sends an order to an endpoint; the reply arrives as an event. */
    void sendOrder(Endpoint endpoint, SwapOrder order);

    /** Handles an endpoint's rejection of this planner's fence: another planner took over. */
    void onFenced(long fence);
}
