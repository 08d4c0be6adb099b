package org.ebonyrun.ports.duty;

import java.util.concurrent.CompletableFuture;

/**
 * Calls of the platform that only the holder of the duties makes.
 *
 * <p>Implementations are thread safe. A future never fails; it completes on any thread.
 */
public interface DutyApi {
    /**
     * Reports the use of one window.
     *
     * @param fence the fence of the holder
     */
    CompletableFuture<DutyReply> reportUsage(long fence, UsageReport report);

    /**
     * Orders a number of endpoints.
     *
     * @param fence the fence of the holder
     */
    CompletableFuture<DutyReply> orderEndpoints(long fence, EndpointTarget target);
}
