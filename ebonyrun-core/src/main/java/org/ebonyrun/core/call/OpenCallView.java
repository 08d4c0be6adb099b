package org.ebonyrun.core.call;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Collection;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
import org.ebonyrun.core.fleet.Fleet;
import org.ebonyrun.core.hedge.OpenCall;
import org.ebonyrun.core.hedge.ServiceUse;

/**
 * A pending call with one open attempt, as the rule for hedging sees it.
 *
 * <p>Valid until the call changes. Not thread safe; confined to the event loop of its {@link
 * CallMachine}.
 */
final class OpenCallView implements OpenCall {
    private final PendingCall mCall;
    private final CallGuard mGuard;
    private final Fleet mFleet;
    private final Collection<PendingCall> mCalls;

    /**
     * Creates a view.
     *
     * @param calls all pending calls of the process
     */
    OpenCallView(PendingCall call, CallGuard guard, Fleet fleet, Collection<PendingCall> calls) {
        int open = call.mOpenAttempts.size();
        checkArgument(open == 1, "call %s has %s open attempts", call.mSpec.requestId(), open);
        mCall = call;
        mGuard = guard;
        mFleet = fleet;
        mCalls = calls;
    }

    @Override
    public String route() {
        return mCall.mSpec.route().name();
    }

    @Override
    public ServiceName service() {
        return mCall.mSpec.service();
    }

    @Override
    public Endpoint endpoint() {
        return mCall.mOpenAttempts.values().iterator().next();
    }

    @Override
    public long sentAt() {
        return mCall.mSentAt;
    }

    @Override
    public long targetNanos() {
        return Nanos.ofMillis(mCall.mSpec.route().call().targetLatencyMillis());
    }

    @Override
    public boolean isBackground() {
        return mCall.mSpec.background();
    }

    @Override
    public boolean isIdempotent() {
        return mCall.mSpec.route().isIdempotent();
    }

    @Override
    public boolean mayRunAgain() {
        return mCall.mayRunAgain(mGuard);
    }

    @Override
    public boolean wasHedged() {
        return mCall.mHedgeAttempt != null;
    }

    @Override
    public boolean hasCrashed() {
        return mCall.mLostAttempt || mGuard.hasCrashed(mCall.mSpec);
    }

    @Override
    public ServiceUse use() {
        ServiceName service = service();
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
