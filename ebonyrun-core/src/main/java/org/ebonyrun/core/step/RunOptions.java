package org.ebonyrun.core.step;

/**
 * How an endpoint is to treat a run.
 *
 * @param urgency its priority, zero the highest
 * @param expectedVersion the only weight version under which it may run; zero for any
 */
public record RunOptions(int priority, int expectedVersion) {}
