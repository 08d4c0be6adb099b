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
record Parties(
        @Nullable VirtualEntry entry,
        @Nullable VirtualAgent agent,
        @Nullable VirtualLink link,
        @Nullable Runnable lose) {
    static Parties ofLink(VirtualLink link) {
        return new Parties(link.mEntry, link.mAgent, link, null);
    }

    static Parties ofEntry(VirtualEntry entry) {
        return new Parties(entry, null, null, null);
    }

    static Parties ofAgent(VirtualAgent agent) {
        return new Parties(null, agent, null, null);
    }

    static Parties ofClient(VirtualEntry entry, Runnable lose) {
        return new Parties(entry, null, null, lose);
    }
}
