package org.ebonyrun.core.call;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.route.Route;

/**
 * One call to be served.
 *
 * @param id the number of the call within this process
 * @param requestId the caller's id of it
 * @param route the route that took it
 * @param service the service that answers it
 * @param arrivedAt when it arrived, in nanoseconds of the monotonic clock
 * @param endsAt when the caller stops waiting or the route's timeout ends, whichever is first
 * @param background whether nobody waits for the answer; people's calls go first
 */
public record CallSpec(
        long id,
        String requestId,
        Route route,
        ServiceName service,
        long arrivedAt,
        long deadline,
        boolean background) {}
