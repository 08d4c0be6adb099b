package org.ebonyrun.ports.store;

/**
 * A lease that the store granted.
 *
 * @param id the ID of the lease
 * @param ttlMillis the granted time to live, in milliseconds
 */
public record StoreLease(long id, long ttlMillis) {}
