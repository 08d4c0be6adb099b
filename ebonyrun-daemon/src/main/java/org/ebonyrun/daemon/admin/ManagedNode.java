package org.ebonyrun.daemon.admin;

import java.util.concurrent.CompletableFuture;

/** What a process tells operators of itself. Implementations are thread safe. */
public interface ManagedNode {
    /** Returns the process's state as a value that can be written as JSON. */
    CompletableFuture<Object> dump();

    /** Returns whether the process may be sent new work. */
    boolean isReady();

    /** Begins a graceful shutdown. */
    void drain();

    /** Returns the process's metrics in the Prometheus text format. */
    byte[] metrics();
}
