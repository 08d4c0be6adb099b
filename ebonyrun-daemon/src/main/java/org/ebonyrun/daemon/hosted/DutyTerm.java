package org.ebonyrun.daemon.hosted;

/**
 * The time for which an entry holds the duties, up to its loss of them.
 *
 * <p>Immutable and thread safe.
 *
 * @param fence the fence of this holder, higher than those of all earlier holders
 * @param sameHolder whether an earlier process of this VM held the duties last
 * @param quietUntil when calls of an earlier holder no longer take effect, in nanoseconds of the
 *     monotonic clock; this holder makes none before it
 */
record DutyTerm(long fence, boolean sameHolder, long quietUntil) {}
