package org.ebonyrun.base.wire;

/** Receives the events of links. Called on I/O threads; implementations must not block. */
public interface LinkListener {
    /** Called once before any message of the link. */
    void onOpen(Link link);

    /** Called for each message, in the order of arrival. */
    void onMessage(Link link, Message message);

    /** Called once after the last message of the link. */
    void onClose(Link link);
}
