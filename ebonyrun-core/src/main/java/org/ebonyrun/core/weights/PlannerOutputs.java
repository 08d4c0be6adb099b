package org.ebonyrun.core.weights;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.lease.LeaseOutputs;

/**
 * Performs the actions that {@link WeightPlanner} decides on. Called on the planner's event loop;
 * must not block.
 */
public interface PlannerOutputs extends LeaseOutputs {
    /** Sends an agent an order to load a version. Returns false if it could not be sent. */
    boolean sendOrder(VmId vm, WeightMessage.LoadOrder order);

    /** Requests the newest version from the weight store; it comes back as an event. */
    void requestLatestVersion(ServiceName service);

    /** Returns the address from which the weight store serves a version. */
    String storeSource(ServiceName service, long version);

    /** Returns the address from which an endpoint serves a version that it has loaded. */
    String peerSource(VmId vm, ServiceName service, long version);
}
