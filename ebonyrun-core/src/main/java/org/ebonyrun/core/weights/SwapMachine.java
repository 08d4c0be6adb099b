package org.ebonyrun.core.weights;

import java.util.Optional;
import org.ebonyrun.base.eventloop.Ticking;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;

/**
 * The agent's part in weight swaps: decides which load orders the agent passes on to its endpoint.
 * ({@code org.ebonyrun.core.swap.SwapMachine} is another type: the planner's part in deployments
 * without agents.)
 *
 * <p>The fence floor is the highest fence known so far; an order with a lower fence comes from a
 * planner that has been replaced.
 *
 * <p>Invariants: no order is passed on before the fence floor is known; no order whose fence is
 * below the floor is passed on, whether or not the endpoint checks fences itself; the floor never
 * decreases; at most one order is in progress at a time.
 *
 * <p>Not thread safe; confined to the swap event loop.
 */
public final class SwapMachine implements Ticking {
    private static final long RETRY_AFTER_MILLIS = 500;

    private final VmId mSelf;
    private final SwapOutputs mOutputs;
    private boolean mFenceFloorKnown;
    private long mFenceFloor;
    private boolean mLoading;
    private long mLoadingVersion;
    // The link on which the result of the load is sent.
    private long mResultLink;

    private SwapMachine(VmId self, SwapOutputs outputs) {
        mSelf = self;
        mOutputs = outputs;
    }

    /** Creates a state machine whose fence floor is not known yet. */
    public static SwapMachine create(VmId self, SwapOutputs outputs) {
        return new SwapMachine(self, outputs);
    }

    /** Handles the newest fence in the key-value service. */
    public void onFenceFloor(long fence) {
        mFenceFloorKnown = true;
        mFenceFloor = Math.max(mFenceFloor, fence);
    }

    /** Returns whether the fence floor is known. */
    public boolean isFenceFloorKnown() {
        return mFenceFloorKnown;
    }

    /** Returns the lowest fence whose orders are passed on. */
    public long fenceFloor() {
        return mFenceFloor;
    }

    /** Returns whether an order is in progress. */
    public boolean isLoading() {
        return mLoading;
    }

    /**
     * Handles an order. An order for the version that is already being loaded starts no second
     * load, but the result is then sent on its link.
     */
    public void onOrder(long link, WeightMessage.LoadOrder order) {
        if (!mFenceFloorKnown) {
            refuse(link, order, FaultCode.PLATFORM_UNAVAILABLE, "the fence floor is not known yet");
            return;
        }
        if (order.fence() < mFenceFloor) {
            refuse(
                    link,
                    order,
                    FaultCode.FENCED,
                    order.fence() + " is below the fence floor " + mFenceFloor);
            return;
        }
        mFenceFloor = order.fence();
        if (mLoading) {
            if (order.version() == mLoadingVersion) {
                mResultLink = link;
            } else {
                refuse(
                        link,
                        order,
                        FaultCode.CONFLICT,
                        "version " + mLoadingVersion + " is being loaded");
            }
            return;
        }
        mLoading = true;
        mLoadingVersion = order.version();
        mResultLink = link;
        mOutputs.setSwapping(true);
        mOutputs.load(order.version(), order.fence(), order.source());
    }

    /** Handles the outcome of a load at the endpoint. */
    public void onLoaded(long version, Optional<Fault> fault) {
        if (!mLoading || version != mLoadingVersion) {
            return;
        }
        mLoading = false;
        mOutputs.setSwapping(false);
        mOutputs.send(mResultLink, new WeightMessage.LoadResult(version, fault.orElse(null)));
    }

    @Override
    public void onTick(long now) {}

    private void refuse(long link, WeightMessage.LoadOrder order, FaultCode code, String detail) {
        Fault fault =
                Fault.notRun(code, "agent.load", mSelf.value(), detail)
                        .withRetryAfterMillis(RETRY_AFTER_MILLIS);
        mOutputs.send(link, new WeightMessage.LoadResult(order.version(), fault));
    }
}
