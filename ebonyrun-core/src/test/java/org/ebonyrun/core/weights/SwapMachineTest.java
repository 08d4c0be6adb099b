package org.ebonyrun.core.weights;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.result.FaultCode;
import org.junit.jupiter.api.Test;

class SwapMachineTest {
    private final List<Long> mLoadedVersions = new ArrayList<>();
    private final List<WeightMessage> mSent = new ArrayList<>();
    private final SwapMachine mMachine =
            SwapMachine.create(
                    VmId.of("vm"),
                    new SwapOutputs() {
                        @Override
                        public void send(long link, WeightMessage message) {
                            mSent.add(message);
                        }

                        @Override
                        public void load(long version, long fence, String source) {
                            mLoadedVersions.add(version);
                        }

                        @Override
                        public void setSwapping(boolean swapping) {}
                    });

    @Test
    void refusesOrderBeforeFenceFloorIsKnown() {
        order(2, 5);
        assertThat(mLoadedVersions, empty());
        assertThat(lastFaultCode(), is(FaultCode.PLATFORM_UNAVAILABLE));
    }

    @Test
    void refusesOrderBelowFenceFloor() {
        mMachine.onFenceFloor(6);
        order(2, 5);
        assertThat(mLoadedVersions, empty());
        assertThat(lastFaultCode(), is(FaultCode.FENCED));
    }

    @Test
    void raisesFenceFloorWithOrdersAndNeverLowersIt() {
        mMachine.onFenceFloor(1);
        order(2, 5);
        mMachine.onLoaded(2, Optional.empty());
        mMachine.onFenceFloor(3);
        order(3, 4);
        assertThat(mLoadedVersions, contains(2L));
        assertThat(mMachine.fenceFloor(), is(5L));
    }

    @Test
    void runsOneOrderAtATime() {
        mMachine.onFenceFloor(0);
        order(2, 5);
        order(3, 5);
        assertThat(lastFaultCode(), is(FaultCode.CONFLICT));
        mMachine.onLoaded(2, Optional.empty());
        order(3, 5);
        assertThat(mLoadedVersions, contains(2L, 3L));
    }

    private void order(long version, long fence) {
        mMachine.onOrder(1, new WeightMessage.LoadOrder(version, fence, "source"));
    }

    private FaultCode lastFaultCode() {
        WeightMessage.LoadResult result = (WeightMessage.LoadResult) mSent.get(mSent.size() - 1);
        return Objects.requireNonNull(result.fault()).code();
    }
}
