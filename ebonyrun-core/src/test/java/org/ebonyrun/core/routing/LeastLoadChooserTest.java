package org.ebonyrun.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.ebonyrun.base.id.ClassName;
import org.ebonyrun.base.id.FailureDomain;
import org.ebonyrun.base.id.SampleKey;
import org.ebonyrun.base.id.ServiceName;
import org.ebonyrun.base.id.TrainerId;
import org.ebonyrun.base.id.VmId;
import org.ebonyrun.base.time.Nanos;
import org.ebonyrun.core.attempt.EndpointLoad;
import org.ebonyrun.core.attempt.WorkKind;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class LeastLoadChooserTest {
    private static final FailureDomain DOMAIN = FailureDomain.of("hall-a");
    private static final long SECOND = Nanos.PER_SECOND;

    private final LeastLoadChooser mChooser = LeastLoadChooser.create(DOMAIN);
    private final EndpointView mSlowView = view("slow", 8);
    private final EndpointView mFastView = view("fast", 2);
    private final List<EndpointView> mViews = List.of(mSlowView, mFastView);

    @Test
    void callsAvoidSlowEndpointWhileAnotherHasFreeSlots() {
        recordLatencies();
        assertThat(choose(call(), SECOND), is("fast"));
    }

    @Test
    void callsUseSlowEndpointIfNoOtherHasFreeSlots() {
        recordLatencies();
        mFastView.onLoad(load(0));
        assertThat(choose(call(), SECOND), is("slow"));
    }

    @Test
    void latencyMeasurementsExpire() {
        recordLatencies();
        assertThat(choose(call(), 20 * SECOND), is("slow"));
    }

    @Test
    void samplesWithSamePrefixShareEndpointWithinSlack() {
        List<EndpointView> views = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            views.add(view("vm-" + i, 4 + i % 2));
        }
        for (int slack = 0; slack < 2; slack++) {
            LeastLoadChooser chooser = LeastLoadChooser.withSlack(DOMAIN, slack);
            String first = chooser.choose(sample(1), views, 0).orElseThrow().vm().value();
            String second = chooser.choose(sample(2), views, 0).orElseThrow().vm().value();
            assertThat(second, is(first));
        }
    }

    private void recordLatencies() {
        mSlowView.recordLatency(10, SECOND, 0);
        mFastView.recordLatency(10, SECOND / 3, 0);
    }

    private String choose(Work work, long now) {
        return mChooser.choose(work, mViews, now).orElseThrow().vm().value();
    }

    private static EndpointView view(String vm, int free) {
        EndpointView view = EndpointView.create(VmId.of(vm), ServiceName.of("models"), DOMAIN);
        view.onLoad(load(free));
        return view;
    }

    private static EndpointLoad load(int free) {
        return new EndpointLoad(free, 0, 0, free, 1, false, false, 0);
    }

    private static Work call() {
        return work(WorkKind.CALL, null);
    }

    private static Work sample(int slot) {
        return work(WorkKind.SAMPLE, new SampleKey(TrainerId.of("t"), 1, slot));
    }

    private static Work work(WorkKind kind, @Nullable SampleKey key) {
        return new Work(
                1,
                kind,
                ServiceName.of("models"),
                ClassName.of("lookup"),
                0.99,
                0,
                0,
                0,
                true,
                false,
                "/",
                "t",
                new byte[0],
                77,
                key,
                0);
    }
}
