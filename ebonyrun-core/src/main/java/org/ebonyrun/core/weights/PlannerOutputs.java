package org.ebonyrun.core.weights;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.core.lease.LeaseOutputs;

/** What the weight planner does to the world. Called on the duty's thread; must not block. */
public interface PlannerOutputs extends LeaseOutputs {
    /** Orders an agent to load a version. Returns false if the order could not be sent. */
    boolean sendOrder(VmId vm, WeightMessage.LoadOrder order);

    /** Asks the weight store for the newest version; it comes back as an event. */
    void requestLatestVersion(ServiceName service);

    /** Returns the store's address of a version. */
    String storeSource(ServiceName service, long version);

    /** Returns the address from which an endpoint serves a version that it has loaded. */
    String peerSource(VmId vm, ServiceName service, long version);
}
