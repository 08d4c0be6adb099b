package org.ebonyrun.ports.kv;

/**
 * The known outcome of a conditional write.
 *
 * @param applied whether the write took effect
 * @param revision the revision of this write if applied, otherwise of the stored value; zero if the
 *     key is absent
 */
public record WriteOutcome(boolean applied, long revision) {}
