package org.ebonyrun.standin.fault;

import org.ebonyrun.standin.virtual.CallOutcome;
import org.ebonyrun.standin.virtual.VirtualCall;

/**
 * A call of a virtual caller and its outcome.
 *
 * @param call the call
 * @param sentAt the time at which it was sent, in nanoseconds of virtual time
 * @param durationNanos the time until its outcome, in nanoseconds
 * @param outcome the outcome that the caller saw
 */
public record CallRecord(VirtualCall call, long sentAt, long durationNanos, CallOutcome outcome) {}
