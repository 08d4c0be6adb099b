package org.ebonyrun.standin.virtual;

import org.jspecify.annotations.Nullable;

/**
 * The participants in an action, at which a fault can be injected.
 *
 * @param entry the entry, if any
 * @param agent the agent, if any
 * @param link the link that carries the message, if any
 * @param dropClientMessage drops the client's request or its response, if the action is one of them
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

    static Participants ofClient(VirtualEntry entry, Runnable dropMessage) {
        return new Participants(entry, null, null, dropMessage);
    }
}
