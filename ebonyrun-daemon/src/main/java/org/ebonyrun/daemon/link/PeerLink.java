package org.ebonyrun.daemon.link;

import org.ebonyrun.base.wire.Link;
import org.ebonyrun.core.membership.MembershipMessage;
import org.jspecify.annotations.Nullable;

/**
 * A link with its number and, once received, the peer's {@code Hello}.
 *
 * <p>Thread safe: the {@code Hello} is set once, by the I/O thread that reads the link.
 */
public final class PeerLink {
    private final long mNumber;
    private final Link mLink;
    private volatile MembershipMessage.@Nullable Hello mHello;

    PeerLink(long number, Link link) {
        mNumber = number;
        mLink = link;
    }

    /** Returns the number of the link, which is unique in the process. */
    public long number() {
        return mNumber;
    }

    /** Returns the link. */
    public Link link() {
        return mLink;
    }

    /** Returns the message with which the peer identified itself, or null before it arrived. */
    public MembershipMessage.@Nullable Hello hello() {
        return mHello;
    }

    void setHello(MembershipMessage.Hello hello) {
        mHello = hello;
    }
}
