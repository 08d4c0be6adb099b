package org.ebonyrun.daemon.link;

import org.ebonyrun.base.wire.Link;
import org.ebonyrun.core.membership.MembershipMessage;
import org.jspecify.annotations.Nullable;

/**
 * A link with its number and, once introduced, its peer.
 *
 * <p>Thread safe: the peer is set once, by the I/O thread that reads the link.
 */
public final class PeerLink {
    private final long mNumber;
    private final Link mLink;
    private volatile MembershipMessage.@Nullable Hello mHello;

    PeerLink(long number, Link link) {
        mNumber = number;
        mLink = link;
    }

    /** Returns the number of the link, unique in the process. */
    public long number() {
        return mNumber;
    }

    /** Returns the link. */
    public Link link() {
        return mLink;
    }

    /** Returns who the peer says it is, or null before it has said so. */
    public MembershipMessage.@Nullable Hello hello() {
        return mHello;
    }

    void setHello(MembershipMessage.Hello hello) {
        mHello = hello;
    }
}
