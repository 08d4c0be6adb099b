package org.ebonyrun.client.demo;

/**
 * What the user asked of the demonstration.
 *
 * @param seed seeds everything that is random
 * @param seconds how long load is offered, in seconds
 * @param json whether the report is JSON
 */
public record DemoOptions(long seed, int seconds, boolean json) {}
