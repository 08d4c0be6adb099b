package org.ebonyrun.core.lease;

/**
 * What the key-value service says of a lease after an attempt to take or extend it.
 *
 * @param holder who holds it
 * @param revision the revision of the key, which is the holder's fence
 */
public record LeaseRecord(LeaseHolder holder, long revision) {}
