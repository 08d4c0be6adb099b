package org.ebonyrun.core.membership;

import org.ebonyrun.base.id.VmId;

/**
 * Performs the actions that {@link MembershipMachine} decides on. Called on the membership event
 * loop; must not block.
 */
public interface MembershipOutputs {
    /** Opens a link; the result comes back as an event. */
    void connect(Peer peer);

    /** Closes a link that is no longer needed, or whose peer has stopped sending messages. */
    void disconnect(VmId vm);

    /** Sends a heartbeat to a connected peer. */
    void sendHeartbeat(VmId vm);

    /** Sets whether a peer may get new work. */
    void setUsable(Peer peer, boolean usable);
}
