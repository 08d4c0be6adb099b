package org.ebonyrun.core.weights;

import java.util.Optional;
import org.ebonyrun.base.eventloop.Ticking;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.Fault;
import org.ebonyrun.base.result.FaultCode;

/**
 * Decides which orders an agent passes on to its endpoint.
 *
 * <p>Invariants: no order passes before the fence floor is known; none passes whose fence is below
 * the floor, whether or not the endpoint checks fences itself; the floor never decreases; one order
 * is under way at a time.
 *
 * <p>Not thread safe; confined to the weight duty.
 */
public final class SwapMachine implements Ticking {
    private static final long RETRY_MILLIS = 500;

    private final VmId mSelf;
    private final SwapOutputs mOutputs;
    private boolean mFloorKnown;
    private long mFloor;
    private boolean mLoading;
    private long mLoadingVersion;
    private long mLink;

    private SwapMachine(VmId self, SwapOutputs outputs) {
        mSelf = self;
        mOutputs = outputs;
    }

    /** Creates a machine that does not know the fence floor. */
    public static SwapMachine create(VmId self, SwapOutputs outputs) {
        return new SwapMachine(self, outputs);
    }

    /** Learns the newest fence from the key-value service. */
    public void onFenceFloor(long fence) {
        mFloorKnown = true;
        mFloor = Math.max(mFloor, fence);
    }

    /** Returns whether the fence floor is known. */
    public boolean isFenceFloorKnown() {
        return mFloorKnown;
    }

    /** Returns the lowest fence that passes. */
    public long fenceFloor() {
        return mFloor;
    }

    /** Returns whether an order is under way. */
    public boolean isLoading() {
        return mLoading;
    }

    /** Handles an order. */
    public void onOrder(long link, WeightMessage.LoadOrder order) {
        if (!mFloorKnown) {
            refuse(link, order, FaultCode.PLATFORM_UNAVAILABLE, "the fence floor is not known");
            return;
        }
        if (order.fence() < mFloor) {
            refuse(link, order, FaultCode.FENCED, order.fence() + " is below " + mFloor);
            return;
        }
        mFloor = order.fence();
        if (mLoading) {
            if (order.version() == mLoadingVersion) {
                mLink = link;
            } else {
                refuse(link, order, FaultCode.CONFLICT, "version " + mLoadingVersion + " loads");
            }
            return;
        }
        mLoading = true;
        mLoadingVersion = order.version();
        mLink = link;
        mOutputs.setSwapping(true);
        mOutputs.load(order.version(), order.fence(), order.source());
    }

    /** Handles the end of the endpoint's work on an order. */
    public void onLoaded(long version, Optional<Fault> fault) {
        if (!mLoading || version != mLoadingVersion) {
            return;
        }
        mLoading = false;
        mOutputs.setSwapping(false);
        mOutputs.send(mLink, new WeightMessage.LoadResult(version, fault.orElse(null)));
    }

    @Override
    public void onTick(long now) {}

    private void refuse(long link, WeightMessage.LoadOrder order, FaultCode code, String detail) {
        Fault fault =
                Fault.notRun(code, "agent.load", mSelf.value(), detail)
                        .withRetryAfterMillis(RETRY_MILLIS);
        mOutputs.send(link, new WeightMessage.LoadResult(order.version(), fault));
    }
}
