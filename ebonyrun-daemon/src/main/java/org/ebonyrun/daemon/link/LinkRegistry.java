package org.ebonyrun.daemon.link;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.ebonyrun.base.wire.Link;
import org.ebonyrun.base.wire.LinkListener;
import org.ebonyrun.base.wire.Message;
import org.ebonyrun.core.membership.MembershipMessage;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Knows all links of a process and introduces it on each.
 *
 * <p>Thread safe. A message that comes before the peer's introduction closes the link.
 */
public final class LinkRegistry implements LinkListener {
    private final MembershipMessage.Hello mSelf;
    private final PeerListener mEvents;
    private final AtomicLong mNumbers = new AtomicLong();
    private final Map<Link, PeerLink> mByLink = new ConcurrentHashMap<>();
    private final Map<Long, PeerLink> mByNumber = new ConcurrentHashMap<>();

    private LinkRegistry(MembershipMessage.Hello self, PeerListener events) {
        mSelf = self;
        mEvents = events;
    }

    /** Creates a book without links. */
    public static LinkRegistry create(MembershipMessage.Hello self, PeerListener events) {
        return new LinkRegistry(self, events);
    }

    @Override
    public void onOpen(Link link) {
        PeerLink peer = new PeerLink(mNumbers.incrementAndGet(), link);
        mByLink.put(link, peer);
        mByNumber.put(peer.number(), peer);
        link.send(mSelf);
    }

    @Override
    public void onMessage(Link link, Message message) {
        PeerLink peer = mByLink.get(link);
        if (peer == null) {
            return;
        }
        if (message instanceof MembershipMessage.Hello hello) {
            if (peer.hello() == null) {
                peer.setHello(hello);
                mEvents.onPeerIntroduced(peer);
            }
        } else if (peer.hello() == null) {
            Logger.warn("peer={} sent {} before hello", link.peer(), message.getClass());
            link.close();
        } else {
            mEvents.onMessage(peer, message);
        }
    }

    @Override
    public void onClose(Link link) {
        PeerLink peer = mByLink.remove(link);
        if (peer == null) {
            return;
        }
        mByNumber.remove(peer.number());
        if (peer.hello() != null) {
            mEvents.onPeerLost(peer);
        }
    }

    /** Sends a message on a numbered link; returns false if it could not be sent. */
    public boolean send(long number, Message message) {
        PeerLink peer = mByNumber.get(number);
        return peer != null && peer.link().send(message);
    }

    /** Returns the link with a number, or null if it is closed. */
    public @Nullable PeerLink findByNumber(long number) {
        return mByNumber.get(number);
    }

    /** Returns all introduced links. */
    public Collection<PeerLink> introducedLinks() {
        return mByNumber.values().stream().filter(peer -> peer.hello() != null).toList();
    }

    /** Closes all links. */
    public void closeAll() {
        List.copyOf(mByLink.keySet()).forEach(Link::close);
    }
}
