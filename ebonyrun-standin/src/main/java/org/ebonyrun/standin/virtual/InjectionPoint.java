package org.ebonyrun.standin.virtual;

import java.util.Set;

/**
 * The points of each path through the system at which a fault can be injected.
 *
 * <p>Names of constants and paths appear in the fault matrix, docs/FAULTS.md.
 */
public enum InjectionPoint {
    /** An entry sends a call to an agent. */
    CALL_OFFER("call", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent starts work at its endpoint. */
    ENDPOINT_START("call", Participant.AGENT),
    /** An agent forwards a piece of a response to the entry. */
    CALL_PIECE("call", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent reports the end of a response. */
    CALL_DONE("call", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent reports that work did not run. */
    CALL_REFUSED("call", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An entry claims the key of a non-idempotent call. */
    CLAIM_WRITE("non-idempotent call", Participant.ENTRY),
    /** A trainer submits a step to an entry. */
    STEP_SUBMIT("step", Participant.ENTRY, Participant.CLIENT),
    /** An owner stores a manifest. */
    MANIFEST_STORE("step", Participant.ENTRY),
    /** An owner sends a sample to an agent. */
    SAMPLE_OFFER("step", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent reports a finished sample. */
    SAMPLE_FINISHED("step", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An entry receives a trainer's request to pull samples. */
    STEP_PULL("step", Participant.ENTRY, Participant.CLIENT),
    /** An owner requests a sample's content. */
    SAMPLE_FETCH("step", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent sends a sample's content. */
    SAMPLE_CONTENT("step", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An entry responds to a trainer's pull. */
    PULL_REPLY("step", Participant.ENTRY, Participant.CLIENT),
    /** An owner releases samples that the trainer has received. */
    SAMPLE_RELEASE("step", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An entry acquires the lease of a trainer's steps. */
    LEASE_ACQUIRE("ownership hand-over", Participant.ENTRY),
    /** An owner renews its lease. */
    LEASE_RENEW("ownership hand-over", Participant.ENTRY),
    /** A new owner asks agents for the samples that they hold. */
    HELD_QUERY("ownership hand-over", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent reports the samples that it holds. */
    HELD_ANSWER("ownership hand-over", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An entry writes an operator's configuration change to the store. */
    CONFIG_WRITE("configuration change", Participant.ENTRY),
    /** A process sends its configuration to a peer. */
    CONFIG_SPREAD("configuration change", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** The planner sends a load order to an agent. */
    LOAD_ORDER("weight swap", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent sends a load order to its engine. */
    ENGINE_LOAD("weight swap", Participant.AGENT),
    /** An agent reports the result of a load order. */
    LOAD_RESULT("weight swap", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent begins to drain. */
    AGENT_DRAIN("drain", Participant.AGENT),
    /** An entry begins to drain. */
    ENTRY_DRAIN("drain", Participant.ENTRY);

    /** A kind of participant in an action, at which a fault can be injected. */
    public enum Participant {
        /** An entry. */
        ENTRY,
        /** An agent and its endpoint. */
        AGENT,
        /** The link that carries the message. */
        LINK,
        /** The client that sends the request or receives the response. */
        CLIENT
    }

    private final String mPath;
    private final Set<Participant> mParticipants;

    InjectionPoint(String path, Participant... participants) {
        mPath = path;
        mParticipants = Set.of(participants);
    }

    /** Returns whether a kind of participant is involved at this point. */
    public boolean involves(Participant participant) {
        return mParticipants.contains(participant);
    }

    /** Returns the path that this point belongs to. */
    public String path() {
        return mPath;
    }
}
