package org.ebonyrun.daemon.link;

import org.ebonyrun.base.wire.Message;

/**
 * Receives the events of links whose peers have sent their {@code Hello}. Called on I/O threads;
 * must not block for long.
 */
public interface PeerListener {
    /** Called once when a peer has sent its {@code Hello}. */
    void onPeerIntroduced(PeerLink peer);

    /** Called for each later message of the peer, in the order of arrival. */
    void onMessage(PeerLink peer, Message message);

    /** Called once when the link to such a peer is closed. */
    void onPeerLost(PeerLink peer);
}
