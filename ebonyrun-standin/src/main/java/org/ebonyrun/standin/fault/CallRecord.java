package org.ebonyrun.standin.fault;

import org.ebonyrun.standin.virtual.CallOutcome;
import org.ebonyrun.standin.virtual.VirtualCall;

/**
 * A call in a virtual caller's log.
 *
 * @param call the call
 * @param at when it was sent, in nanoseconds of virtual time
 * @param tookNanos how long its end took
 * @param end how it ended
 */
public record CallRecord(VirtualCall call, long sentAt, long durationNanos, CallOutcome outcome) {}
