package org.ebonyrun.core.membership;

import org.ebonyrun.base.id.VmId;

/** What the membership duty does to the world. Called on the duty's thread; must not block. */
public interface MembershipOutputs {
    /** Opens a link; the outcome comes back as an event. */
    void connect(Peer peer);

    /** Closes a link that is wanted no more, or whose peer is gone. */
    void disconnect(VmId vm);

    /** Sends a heartbeat to a connected peer. */
    void sendHeartbeat(VmId vm);

    /** Tells whether the peer may get new work. */
    void setUsable(Peer peer, boolean usable);
}
