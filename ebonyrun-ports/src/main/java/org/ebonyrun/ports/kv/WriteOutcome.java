package org.ebonyrun.ports.kv;

/**
 * The known outcome of a conditional write.
 *
 * @param applied whether the write took effect
 * @param revision the key's revision: of this write when applied, else of what is stored (zero when
 *     the key is absent)
 */
public record WriteOutcome(boolean applied, long revision) {}
