package org.ebonyrun.client.demo;

/**
 * Options of the demonstration.
 *
 * @param seed seed of all random choices
 * @param seconds duration of the load, in seconds
 * @param json whether to print the report as JSON
 */
public record DemoOptions(long seed, int seconds, boolean json) {}
