package org.ebonyrun.ports.vm;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ebonyrun.base.result.Result;

/**
 * The platform's list of running and draining VMs. The list lags behind the actual state of the
 * VMs. Implementations are thread safe and never block.
 */
@FunctionalInterface
public interface VmDirectory {
    /** Reads the complete list. */
    CompletableFuture<Result<List<VmRecord>>> list();
}
