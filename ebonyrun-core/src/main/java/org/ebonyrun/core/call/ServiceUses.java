package org.ebonyrun.core.call;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.hedge.ServiceUse;

/**
 * The uses of services during one tick, each computed at most once until it is discarded.
 *
 * <p>Answers overloads, in which many calls are overdue at a time: a look at all calls and
 * endpoints for each of them would take time that grows with the square of the calls.
 *
 * <p>Not thread safe; confined to the event loop of its {@link CallMachine}.
 */
final class ServiceUses {
    private final Fleet mFleet;
    private final Collection<PendingCall> mCalls;
    private final Map<ServiceName, ServiceUse> mUses = new HashMap<>();

    /**
     * Creates uses that are not computed yet.
     *
     * @param calls all pending calls of the process
     */
    ServiceUses(Fleet fleet, Collection<PendingCall> calls) {
        mFleet = fleet;
        mCalls = calls;
    }

    /** Returns the use of a service when it was first asked for. */
    ServiceUse of(ServiceName service) {
        return mUses.computeIfAbsent(service, this::compute);
    }

    /** Discards the use of a service that has changed. */
    void discard(ServiceName service) {
        mUses.remove(service);
    }

    private ServiceUse compute(ServiceName service) {
        int waiting = 0;
        for (PendingCall call : mCalls) {
            if (call.mOpenAttempts.isEmpty() && call.mSpec.service().equals(service)) {
                waiting++;
            }
        }
        int active = 0;
        int slots = 0;
        boolean limited = false;
        for (Endpoint endpoint : mFleet.serving(service)) {
            active += endpoint.activeRequests();
            slots += endpoint.record().slots();
            limited |= endpoint.isLimited();
        }
        return new ServiceUse(waiting, active, slots, limited);
    }
}
