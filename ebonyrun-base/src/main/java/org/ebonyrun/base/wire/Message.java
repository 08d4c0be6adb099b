package org.ebonyrun.base.wire;

/**
 * A message between two processes of the system. Each state machine defines its messages as records
 * under a sealed subinterface. Implementations are immutable.
 */
public interface Message {}
