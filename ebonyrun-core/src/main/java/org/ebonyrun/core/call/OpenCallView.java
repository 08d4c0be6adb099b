package org.ebonyrun.core.call;

import static com.google.common.base.Preconditions.checkArgument;

import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.fleet.Endpoint;
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
    private final ServiceUses mUses;

    OpenCallView(PendingCall call, CallGuard guard, ServiceUses uses) {
        int open = call.mOpenAttempts.size();
        checkArgument(open == 1, "call %s has %s open attempts", call.mSpec.requestId(), open);
        mCall = call;
        mGuard = guard;
        mUses = uses;
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
        return mUses.of(service());
    }
}
