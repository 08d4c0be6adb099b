package org.ebonyrun.standin.virtual;

/** The kinds of faults that can be injected. */
public enum FaultKind {
    /** The entry crashes before the action and restarts two seconds later. */
    ENTRY_CRASH_BEFORE,
    /** The entry crashes right after the action and restarts two seconds later. */
    ENTRY_CRASH_AFTER,
    /**
     * The agent crashes before the action and restarts two seconds later; its endpoint keeps
     * running.
     */
    AGENT_CRASH_BEFORE,
    /** The agent crashes right after the action and restarts two seconds later. */
    AGENT_CRASH_AFTER,
    /** The endpoint crashes and restarts two seconds later. */
    ENDPOINT_CRASH,
    /** The message is lost, and its link is closed. */
    LINK_CUT,
    /** The action takes effect; right after it the link is closed or the response is lost. */
    ANSWER_LOST,
    /** The action takes place three seconds late. */
    DELAY,
    /** The message arrives twice. */
    DUPLICATE,
    /** The message arrives after later messages. */
    REORDER,
    /** The next two streams of the endpoint end without an end marker. */
    TRUNCATED_STREAM,
    /** The key-value service is unavailable for eight seconds. */
    STORE_DOWN,
    /** The key-value service takes 1.5 s for each call, for eight seconds. */
    STORE_SLOW,
    /** The responses to the next two writes are lost; the writes take effect. */
    STORE_ANSWER_LOST,
    /** The entry is paused for ten seconds, longer than the time to live of its leases. */
    ENTRY_PAUSE,
    /** The agent is paused for ten seconds. */
    AGENT_PAUSE,
    /** The entry is paused for ten seconds, and endpoints accept orders with an old fence. */
    FENCE_IGNORED,
    /** The next two weight loads of the endpoint fail before they complete. */
    SWAP_FAILS,
    /** The agent crashes, and the VM list is not updated for twenty seconds. */
    VM_LIST_STALE
}
