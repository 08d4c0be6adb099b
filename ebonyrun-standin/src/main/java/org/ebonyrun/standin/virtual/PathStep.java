package org.ebonyrun.standin.virtual;

import java.util.Set;

/** The steps of each path through the system at which a fault can strike. */
public enum PathStep {
    /** An entry sends a call to an agent. */
    CALL_OFFER("call", Party.ENTRY, Party.AGENT, Party.LINK),
    /** An agent hands work to its endpoint. */
    ENDPOINT_START("call", Party.AGENT),
    /** An agent passes a piece of an answer on. */
    CALL_PIECE("call", Party.ENTRY, Party.AGENT, Party.LINK),
    /** An agent marks the end of an answer. */
    CALL_DONE("call", Party.ENTRY, Party.AGENT, Party.LINK),
    /** An agent tells that work did not run. */
    CALL_REFUSED("call", Party.ENTRY, Party.AGENT, Party.LINK),
    /** An entry claims the key of a non-idempotent call. */
    CLAIM_WRITE("non-idempotent call", Party.ENTRY),
    /** A trainer submits a step at an entry. */
    STEP_SUBMIT("step", Party.ENTRY, Party.CLIENT),
    /** An owner stores a manifest. */
    MANIFEST_STORE("step", Party.ENTRY),
    /** An owner sends a sample to an agent. */
    SAMPLE_OFFER("step", Party.ENTRY, Party.AGENT, Party.LINK),
    /** An agent reports a finished sample. */
    SAMPLE_FINISHED("step", Party.ENTRY, Party.AGENT, Party.LINK),
    /** A trainer's pull arrives at an entry. */
    STEP_PULL("step", Party.ENTRY, Party.CLIENT),
    /** An owner asks for a sample's content. */
    SAMPLE_FETCH("step", Party.ENTRY, Party.AGENT, Party.LINK),
    /** An agent sends a sample's content. */
    SAMPLE_CONTENT("step", Party.ENTRY, Party.AGENT, Party.LINK),
    /** An entry answers a pull. */
    PULL_REPLY("step", Party.ENTRY, Party.CLIENT),
    /** An owner releases samples that the trainer has. */
    SAMPLE_RELEASE("step", Party.ENTRY, Party.AGENT, Party.LINK),
    /** An entry takes the lease of a trainer's steps. */
    LEASE_ACQUIRE("ownership hand-over", Party.ENTRY),
    /** An owner extends its lease. */
    LEASE_RENEW("ownership hand-over", Party.ENTRY),
    /** A new owner asks what agents hold. */
    HELD_QUERY("ownership hand-over", Party.ENTRY, Party.AGENT, Party.LINK),
    /** An agent tells what it holds. */
    HELD_ANSWER("ownership hand-over", Party.ENTRY, Party.AGENT, Party.LINK),
    /** An operator's change is written. */
    CONFIG_WRITE("configuration change", Party.ENTRY),
    /** A process passes a configuration on. */
    CONFIG_SPREAD("configuration change", Party.ENTRY, Party.AGENT, Party.LINK),
    /** The planner orders a load. */
    LOAD_ORDER("weight swap", Party.ENTRY, Party.AGENT, Party.LINK),
    /** An agent passes an order to its engine. */
    ENGINE_LOAD("weight swap", Party.AGENT),
    /** An agent answers an order. */
    LOAD_RESULT("weight swap", Party.ENTRY, Party.AGENT, Party.LINK),
    /** An agent is told to drain. */
    AGENT_DRAIN("drain", Party.AGENT),
    /** An entry is told to drain. */
    ENTRY_DRAIN("drain", Party.ENTRY);

    /** Who takes part in a step, and so can fail at it. */
    public enum Party {
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
    private final Set<Party> mParties;

    PathStep(String path, Party... parties) {
        mPath = path;
        mParties = Set.of(parties);
    }

    /** Returns whether a party takes part in the step. */
    public boolean has(Party party) {
        return mParties.contains(party);
    }

    /** Returns the path that the step belongs to. */
    public String path() {
        return mPath;
    }
}
