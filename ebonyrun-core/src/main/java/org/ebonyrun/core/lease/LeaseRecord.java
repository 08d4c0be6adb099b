package org.ebonyrun.core.lease;

/**
 * The holder of a lease, as reported by the key-value service.
 *
 * @param holder the process that holds the lease
 * @param revision the revision of the key, which is the holder's fence
 */
public record LeaseRecord(LeaseHolder holder, long revision) {}
