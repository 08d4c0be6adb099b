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
 * Registry of all links of a process. Sends this process's {@code Hello} on each new link.
 *
 * <p>Thread safe. A message that arrives before the peer's {@code Hello} closes the link.
 */
public final class LinkRegistry implements LinkListener {
    private final MembershipMessage.Hello mOwnHello;
    private final PeerListener mListener;
    private final AtomicLong mLastNumber = new AtomicLong();
    private final Map<Link, PeerLink> mByLink = new ConcurrentHashMap<>();
    private final Map<Long, PeerLink> mByNumber = new ConcurrentHashMap<>();

    private LinkRegistry(MembershipMessage.Hello ownHello, PeerListener listener) {
        mOwnHello = ownHello;
        mListener = listener;
    }

    /** Creates an empty registry. */
    public static LinkRegistry create(MembershipMessage.Hello ownHello, PeerListener listener) {
        return new LinkRegistry(ownHello, listener);
    }

    @Override
    public void onOpen(Link link) {
        PeerLink peer = new PeerLink(mLastNumber.incrementAndGet(), link);
        mByLink.put(link, peer);
        mByNumber.put(peer.number(), peer);
        link.send(mOwnHello);
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
                mListener.onPeerIntroduced(peer);
            }
        } else if (peer.hello() == null) {
            Logger.warn(
                    "peer={} sent {} before its hello message; closing the link",
                    link.peer(),
                    message.getClass());
            link.close();
        } else {
            mListener.onMessage(peer, message);
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
            mListener.onPeerLost(peer);
        }
    }

    /** Sends a message on the link with the given number; returns false if it was not sent. */
    public boolean send(long number, Message message) {
        PeerLink peer = mByNumber.get(number);
        return peer != null && peer.link().send(message);
    }

    /** Returns the link with the given number, or null if it is closed. */
    public @Nullable PeerLink findByNumber(long number) {
        return mByNumber.get(number);
    }

    /** Returns the links whose peers have sent their {@code Hello}. */
    public Collection<PeerLink> introducedLinks() {
        return mByNumber.values().stream().filter(peer -> peer.hello() != null).toList();
    }

    /** Closes all links. */
    public void closeAll() {
        List.copyOf(mByLink.keySet()).forEach(Link::close);
    }
}
