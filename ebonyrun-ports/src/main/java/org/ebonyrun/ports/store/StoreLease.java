package org.ebonyrun.ports.store;

/**
 * A lease that the store granted.
 *
 * @param id its number
 * @param ttlMillis the time to live that applies, in milliseconds
 */
public record StoreLease(long id, long ttlMillis) {}
