package org.ebonyrun.daemon.admin;

import java.util.concurrent.CompletableFuture;

/**
 * A process as operators see it: its state, readiness and metrics, and its graceful shutdown.
 *
 * <p>Implementations are thread safe.
 */
public interface ManagedNode {
    /** Returns the state of the process as a value that can be serialized as JSON. */
    CompletableFuture<Object> dump();

    /** Returns whether the process accepts new work. */
    boolean isReady();

    /** Starts draining: the process refuses new work and finishes the accepted work. */
    void drain();

    /** Returns the metrics of the process in the Prometheus text format. */
    byte[] metrics();
}
