package org.ebonyrun.standin.virtual;

/** What can go wrong at a step. */
public enum FaultKind {
    /** The entry dies before the act and restarts two seconds later. */
    ENTRY_CRASH_BEFORE,
    /** The entry dies right after the act. */
    ENTRY_CRASH_AFTER,
    /** The agent dies before the act and restarts two seconds later; its endpoint lives on. */
    AGENT_CRASH_BEFORE,
    /** The agent dies right after the act. */
    AGENT_CRASH_AFTER,
    /** The endpoint dies and restarts two seconds later. */
    ENDPOINT_CRASH,
    /** The message and its link are lost. */
    LINK_CUT,
    /** The act happens, and the link is lost before anything follows. */
    ANSWER_LOST,
    /** The act happens three seconds late. */
    DELAY,
    /** The message arrives twice. */
    DUPLICATE,
    /** The message arrives after the ones that follow it. */
    REORDER,
    /** The next streams of the endpoint end without their end mark. */
    TRUNCATED_STREAM,
    /** The key-value service is away for eight seconds. */
    STORE_DOWN,
    /** The key-value service takes 1.5 s for each call, for eight seconds. */
    STORE_SLOW,
    /** The answers to the next two writes are lost; the writes take effect. */
    STORE_ANSWER_LOST,
    /** The entry stands still for ten seconds, longer than its leases live. */
    ENTRY_PAUSE,
    /** The agent stands still for ten seconds. */
    AGENT_PAUSE,
    /** Endpoints obey old fences, while the entry stands still for ten seconds. */
    FENCE_IGNORED,
    /** The next two loads of the endpoint fail partway. */
    SWAP_FAILS,
    /** The list of VMs stands still for twenty seconds, while the agent dies. */
    VM_LIST_STALE
}
