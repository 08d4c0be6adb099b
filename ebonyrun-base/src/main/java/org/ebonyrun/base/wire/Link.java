package org.ebonyrun.base.wire;

/** One connection to a peer process. Thread safe. */
public interface Link {
    /**
     * Sends a message; messages of one thread keep their order. Returns false, with nothing sent,
     * when the link is closed. A link on which too much waits to be written is closed, so that no
     * message is ever lost on a link that stays open.
     */
    boolean send(Message message);

    /** Returns the address of the peer, for logs and faults. */
    String peer();

    /** Returns whether the link can still carry messages. */
    boolean isOpen();

    /** Closes the link; the listener is told once. */
    void close();
}
