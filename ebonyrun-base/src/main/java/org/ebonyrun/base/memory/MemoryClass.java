package org.ebonyrun.base.memory;

/** What memory is held for. */
public enum MemoryClass {
    /** Input of callers and trainers that is not a part of a request yet. */
    INPUT,
    /** Requests of callers and trainers, from their head until their response is sent. */
    REQUEST,
    /** The samples of steps that are submitted, owned or read. */
    STEP,
    /** Responses that their callers have not taken yet. */
    RESPONSE
}
