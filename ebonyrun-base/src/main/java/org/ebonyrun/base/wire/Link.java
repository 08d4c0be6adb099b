package org.ebonyrun.base.wire;

/** A connection to a peer process. Thread safe. */
public interface Link {
    /**
     * Sends a message; messages of one thread keep their order. Returns false, without sending
     * anything, if the link is closed. A link that has too many bytes pending is closed, so that no
     * message is lost on a link that stays open.
     */
    boolean send(Message message);

    /** Returns the address of the peer, for logs and faults. */
    String peer();

    /** Returns whether the link can still carry messages. */
    boolean isOpen();

    /** Closes the link; the listener is notified once. */
    void close();
}
