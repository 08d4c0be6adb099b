package org.ebonyrun.base.wire;

/**
 * A message between two processes of the system. Each duty defines its own messages as records
 * under a sealed sub-interface. Implementations are immutable.
 */
public interface Message {}
