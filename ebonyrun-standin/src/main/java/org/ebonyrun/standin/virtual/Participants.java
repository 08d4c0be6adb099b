package org.ebonyrun.standin.virtual;

import org.jspecify.annotations.Nullable;

/**
 * Who takes part in an act.
 *
 * @param entry the entry, if any
 * @param agent the agent, if any
 * @param link the link that carries the message, if any
 * @param lose loses a client's request or answer, if it is one
 */
record Participants(
        @Nullable VirtualEntry entry,
        @Nullable VirtualAgent agent,
        @Nullable VirtualLink link,
        @Nullable Runnable dropClientMessage) {
    static Participants ofLink(VirtualLink link) {
        return new Participants(link.mEntry, link.mAgent, link, null);
    }

    static Participants ofEntry(VirtualEntry entry) {
        return new Participants(entry, null, null, null);
    }

    static Participants ofAgent(VirtualAgent agent) {
        return new Participants(null, agent, null, null);
    }

    static Participants ofClient(VirtualEntry entry, Runnable lose) {
        return new Participants(entry, null, null, lose);
    }
}
