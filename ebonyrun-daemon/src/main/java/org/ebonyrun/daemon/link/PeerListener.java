package org.ebonyrun.daemon.link;

import org.ebonyrun.base.wire.Message;

/** Receives what happens on introduced links. Called on I/O threads; must not block for long. */
public interface PeerListener {
    /** Called once when a peer has introduced itself. */
    void onPeerIntroduced(PeerLink peer);

    /** Called for each later message. */
    void onMessage(PeerLink peer, Message message);

    /** Called once when the link of an introduced peer is closed. */
    void onPeerLost(PeerLink peer);
}
