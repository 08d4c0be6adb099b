package org.ebonyrun.standin.virtual;

import java.util.Set;

/** The steps of each path through the system at which a fault can strike. */
public enum InjectionPoint {
    /** An entry sends a call to an agent. */
    CALL_OFFER("call", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent hands work to its endpoint. */
    ENDPOINT_START("call", Participant.AGENT),
    /** An agent passes a piece of an answer on. */
    CALL_PIECE("call", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent marks the end of an answer. */
    CALL_DONE("call", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent tells that work did not run. */
    CALL_REFUSED("call", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An entry claims the key of a non-idempotent call. */
    CLAIM_WRITE("non-idempotent call", Participant.ENTRY),
    /** A trainer submits a step at an entry. */
    STEP_SUBMIT("step", Participant.ENTRY, Participant.CLIENT),
    /** An owner stores a manifest. */
    MANIFEST_STORE("step", Participant.ENTRY),
    /** An owner sends a sample to an agent. */
    SAMPLE_OFFER("step", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent reports a finished sample. */
    SAMPLE_FINISHED("step", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** A trainer's pull arrives at an entry. */
    STEP_PULL("step", Participant.ENTRY, Participant.CLIENT),
    /** An owner asks for a sample's content. */
    SAMPLE_FETCH("step", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent sends a sample's content. */
    SAMPLE_CONTENT("step", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An entry answers a pull. */
    PULL_REPLY("step", Participant.ENTRY, Participant.CLIENT),
    /** An owner releases samples that the trainer has. */
    SAMPLE_RELEASE("step", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An entry takes the lease of a trainer's steps. */
    LEASE_ACQUIRE("ownership hand-over", Participant.ENTRY),
    /** An owner extends its lease. */
    LEASE_RENEW("ownership hand-over", Participant.ENTRY),
    /** A new owner asks what agents hold. */
    HELD_QUERY("ownership hand-over", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent tells what it holds. */
    HELD_ANSWER("ownership hand-over", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An operator's change is written. */
    CONFIG_WRITE("configuration change", Participant.ENTRY),
    /** A process passes a configuration on. */
    CONFIG_SPREAD("configuration change", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** The planner orders a load. */
    LOAD_ORDER("weight swap", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent passes an order to its engine. */
    ENGINE_LOAD("weight swap", Participant.AGENT),
    /** An agent answers an order. */
    LOAD_RESULT("weight swap", Participant.ENTRY, Participant.AGENT, Participant.LINK),
    /** An agent is told to drain. */
    AGENT_DRAIN("drain", Participant.AGENT),
    /** An entry is told to drain. */
    ENTRY_DRAIN("drain", Participant.ENTRY);

    /** Who takes part in a step, and so can fail at it. */
    public enum Participant {
        /** An entry. */
        ENTRY,
        /** An agent and its endpoint. */
        AGENT,
        /** A link that carries the step's message. */
        LINK,
        /** A client whose request or answer it is. */
        CLIENT
    }

    private final String mPath;
    private final Set<Participant> mParties;

    InjectionPoint(String path, Participant... parties) {
        mPath = path;
        mParties = Set.of(parties);
    }

    /** Returns whether a party takes part in the step. */
    public boolean involves(Participant party) {
        return mParties.contains(party);
    }

    /** Returns the path that the step belongs to. */
    public String path() {
        return mPath;
    }
}
